package client

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/pkg/model"
	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

// answerFunc answers one request to a fake host.
type answerFunc func(w http.ResponseWriter, p opsapi.Proposal)

// answerResult answers with a result of the kind.
func answerResult(kind model.ResultKind, leader model.HostID) answerFunc {
	return func(w http.ResponseWriter, p opsapi.Proposal) {
		w.WriteHeader(opsapi.ResultStatus(kind))
		r := opsapi.FromResult(model.Result{ID: model.ChangeID(p.ChangeID), Kind: kind, Version: 8, Leader: leader, Message: "why"})
		_ = json.NewEncoder(w).Encode(r)
	}
}

// answerFault answers with a fault of the kind.
func answerFault(kind opsapi.FaultKind, leader string) answerFunc {
	return func(w http.ResponseWriter, _ opsapi.Proposal) {
		w.WriteHeader(kind.Status())
		_ = json.NewEncoder(w).Encode(opsapi.Fault{Kind: kind, Message: "why", Leader: leader})
	}
}

// dropConnection closes the connection after the request was received, without an answer.
func dropConnection(w http.ResponseWriter, _ opsapi.Proposal) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = c.Close()
	}
}

// answerHTML answers as a server that is no control host.
func answerHTML(w http.ResponseWriter, _ opsapi.Proposal) {
	_, _ = w.Write([]byte("<html>another server</html>"))
}

// fakeFleet is a fleet of fake control hosts. It answers the requests to all hosts
// in the order of a script and records them.
type fakeFleet struct {
	// script holds the answers. The last one is repeated.
	script []answerFunc

	mu sync.Mutex
	// requestedHosts holds the host of each request so far.
	requestedHosts []string
	// changeIDs holds the change ids of the requests so far.
	changeIDs map[string]bool
}

// record records a request with a change id to a host and returns the answer.
func (f *fakeFleet) record(host, id string) answerFunc {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changeIDs[id] = true
	answer := f.script[min(len(f.requestedHosts), len(f.script)-1)]
	f.requestedHosts = append(f.requestedHosts, host)
	return answer
}

// recorded returns the host of each request and the different change ids so far.
func (f *fakeFleet) recorded() (asked, ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.requestedHosts), slices.Collect(maps.Keys(f.changeIDs))
}

// start starts an HTTP server for each host and returns their addresses.
func (f *fakeFleet) start(t *testing.T, hosts ...string) []Address {
	t.Helper()
	f.changeIDs = map[string]bool{}
	var addrs []Address
	for _, host := range hosts {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var p opsapi.Proposal
			_ = json.NewDecoder(r.Body).Decode(&p)
			f.record(host, p.ChangeID)(w, p)
		}))
		t.Cleanup(server.Close)
		addrs = append(addrs, Address{Host: model.HostID(host), Addr: strings.TrimPrefix(server.URL, "http://")})
	}
	return addrs
}

// Guards against a change that is sent again under another id, against a change
// that is reported as refused but may be accepted, and against requests to hosts
// that are not the leader while the leader is known.
func TestProposeReportsResultAndAsksHostsInTurn(t *testing.T) {
	tests := []struct {
		name       string
		script     []answerFunc
		wantHosts  string
		checkError func(error) bool
		wantKind   model.ResultKind
	}{
		{"accepted", []answerFunc{answerResult(model.ResultAccepted, "")}, "a", isNil, model.ResultAccepted},
		{"answer lost", []answerFunc{dropConnection, answerResult(model.ResultAccepted, "")}, "ab", isNil, model.ResultAccepted},
		{"result unknown", []answerFunc{answerResult(model.ResultUnknown, ""), answerResult(model.ResultAccepted, "")}, "ab", isNil, model.ResultAccepted},
		{"leader elsewhere", []answerFunc{answerResult(model.ResultNotLeader, "c"), answerResult(model.ResultAccepted, "")}, "ac", isNil, model.ResultAccepted},
		{"leader elsewhere as a fault", []answerFunc{answerFault(opsapi.FaultNotLeader, "c"), answerResult(model.ResultAccepted, "")}, "ac", isNil, model.ResultAccepted},
		{"leader not in the addresses", []answerFunc{answerResult(model.ResultNotLeader, "z"), answerResult(model.ResultAccepted, "")}, "ab", isNil, model.ResultAccepted},
		{"conflict", []answerFunc{answerResult(model.ResultConflict, "")}, "a", IsErrConflict, model.ResultConflict},
		{"refused after a lost answer", []answerFunc{dropConnection, answerResult(model.ResultInvalid, "")}, "ab", IsErrInvalid, model.ResultInvalid},
		{"wrong token", []answerFunc{answerFault(opsapi.FaultUnauthorized, "")}, "a", IsErrUnauthorized, model.ResultUnknown},
		{"malformed", []answerFunc{answerFault(opsapi.FaultMalformed, "")}, "a", IsErrFault, model.ResultUnknown},
		{"never an answer", []answerFunc{dropConnection}, "abcabc", IsErrUnknown, model.ResultUnknown},
		{"always unknown", []answerFunc{answerResult(model.ResultUnknown, "")}, "abcabc", IsErrUnknown, model.ResultUnknown},
		{"wrong token after a lost answer", []answerFunc{dropConnection, answerFault(opsapi.FaultUnauthorized, "")}, "ab", IsErrUnknown, model.ResultUnknown},
		{"never a leader", []answerFunc{answerResult(model.ResultNotLeader, "")}, "abcabc", IsErrUnreachable, model.ResultUnknown},
		{"never available", []answerFunc{answerFault(opsapi.FaultUnavailable, "")}, "abcabc", IsErrUnreachable, model.ResultUnknown},
		{"another server", []answerFunc{answerHTML}, "abcabc", IsErrUnknown, model.ResultUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &fakeFleet{script: tt.script}
			c, err := New(f.start(t, "a", "b", "c"), "token-of-an-operator", WithRounds(2, time.Millisecond))
			require.NoError(t, err)
			r, err := c.Propose(context.Background(), model.Proposal{Base: 7, Change: model.CreateWorkspace{Workspace: "w"}})
			require.True(t, tt.checkError(err), "got %v", err)
			asked, ids := f.recorded()
			require.Equal(t, tt.wantHosts, strings.Join(asked, ""))
			require.Equal(t, tt.wantKind, r.Kind)
			require.Equal(t, []string{string(r.ID)}, ids)
			require.NotContains(t, fmt.Sprint(err), "token-of-an-operator")
		})
	}
}

func isNil(err error) bool { return err == nil }

// Guards against a change whose result is reported as unknown although no host
// received it.
func TestUnreachableHostsDoNotLeaveResultUnknown(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	require.NoError(t, l.Close())
	f := &fakeFleet{script: []answerFunc{answerResult(model.ResultAccepted, "")}}
	addrs := append([]Address{{Host: "gone", Addr: addr}}, f.start(t, "b")...)
	c, err := New(addrs, "t", WithRounds(2, time.Millisecond))
	require.NoError(t, err)
	_, err = c.Propose(context.Background(), model.Proposal{Change: model.CreateWorkspace{Workspace: "w"}})
	require.NoError(t, err)
	require.Equal(t, 1, c.loadFirstHost(), "the host that answered is asked first")

	c, err = New(addrs[:1], "t", WithRounds(2, time.Millisecond))
	require.NoError(t, err)
	_, err = c.Propose(context.Background(), model.Proposal{Change: model.CreateWorkspace{Workspace: "w"}})
	require.True(t, IsErrUnreachable(err), "got %v", err)
	_, err = c.Config(context.Background())
	require.True(t, IsErrUnreachable(err), "got %v", err)
	_, err = New(nil, "t")
	require.Error(t, err)
}

// Guards against a read that fails although another host would answer, and against
// two new keys that are equal or have the same digest.
func TestReadsTryOtherHostsAndLeader(t *testing.T) {
	f := &fakeFleet{script: []answerFunc{dropConnection, answerFault(opsapi.FaultNotLeader, "c"), func(w http.ResponseWriter, _ opsapi.Proposal) {
		_ = json.NewEncoder(w).Encode(opsapi.Evidence{Workspace: "shop-7", Proved: true})
	}}}
	c, err := New(f.start(t, "a", "b", "c"), "t", WithRounds(2, time.Millisecond))
	require.NoError(t, err)
	e, err := c.Silence(context.Background(), "shop-7")
	require.NoError(t, err)
	require.True(t, e.Proved)
	asked, _ := f.recorded()
	require.Equal(t, []string{"a", "b", "c"}, asked)

	first, err := NewKey()
	require.NoError(t, err)
	second, err := NewKey()
	require.NoError(t, err)
	require.NotEqual(t, first, second)
	require.NotEqual(t, HashKey(first), HashKey(second))
}
