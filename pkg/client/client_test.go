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

// step is how one host answers one request.
type step func(w http.ResponseWriter, p opsapi.Proposal)

func result(kind model.ResultKind, leader model.HostID) step {
	return func(w http.ResponseWriter, p opsapi.Proposal) {
		w.WriteHeader(opsapi.ResultStatus(kind))
		r := opsapi.FromResult(model.Result{ID: model.ChangeID(p.ChangeID), Kind: kind, Version: 8, Leader: leader, Message: "why"})
		_ = json.NewEncoder(w).Encode(r)
	}
}

func fault(kind opsapi.FaultKind, leader string) step {
	return func(w http.ResponseWriter, _ opsapi.Proposal) {
		w.WriteHeader(kind.Status())
		_ = json.NewEncoder(w).Encode(opsapi.Fault{Kind: kind, Message: "why", Leader: leader})
	}
}

// lost takes the request and breaks off the connection before an answer.
func lost(w http.ResponseWriter, _ opsapi.Proposal) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = c.Close()
	}
}

func page(w http.ResponseWriter, _ opsapi.Proposal) {
	_, _ = w.Write([]byte("<html>another server</html>"))
}

// fleet answers in the order of the script, whichever host is asked, and records what was asked.
type fleet struct {
	script []step

	mu    sync.Mutex
	asked []string
	ids   map[string]bool
}

func (f *fleet) take(host, id string) step {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ids[id] = true
	answer := f.script[min(len(f.asked), len(f.script)-1)]
	f.asked = append(f.asked, host)
	return answer
}

func (f *fleet) seen() (asked, ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.asked), slices.Collect(maps.Keys(f.ids))
}

func (f *fleet) start(t *testing.T, hosts ...string) []Address {
	t.Helper()
	f.ids = map[string]bool{}
	var addrs []Address
	for _, host := range hosts {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var p opsapi.Proposal
			_ = json.NewDecoder(r.Body).Decode(&p)
			f.take(host, p.ChangeID)(w, p)
		}))
		t.Cleanup(server.Close)
		addrs = append(addrs, Address{Host: model.HostID(host), Addr: strings.TrimPrefix(server.URL, "http://")})
	}
	return addrs
}

// Guards against a change submitted twice under different ids, against a
// change reported as refused that may be accepted, and against asking hosts
// that cannot answer while the leader is known.
func TestPropose(t *testing.T) {
	tests := []struct {
		name   string
		script []step
		asked  string
		check  func(error) bool
		kind   model.ResultKind
	}{
		{"accepted", []step{result(model.ResultAccepted, "")}, "a", isNil, model.ResultAccepted},
		{"answer lost", []step{lost, result(model.ResultAccepted, "")}, "ab", isNil, model.ResultAccepted},
		{"result unknown", []step{result(model.ResultUnknown, ""), result(model.ResultAccepted, "")}, "ab", isNil, model.ResultAccepted},
		{"leader elsewhere", []step{result(model.ResultNotLeader, "c"), result(model.ResultAccepted, "")}, "ac", isNil, model.ResultAccepted},
		{"leader elsewhere as a fault", []step{fault(opsapi.FaultNotLeader, "c"), result(model.ResultAccepted, "")}, "ac", isNil, model.ResultAccepted},
		{"leader not in the addresses", []step{result(model.ResultNotLeader, "z"), result(model.ResultAccepted, "")}, "ab", isNil, model.ResultAccepted},
		{"conflict", []step{result(model.ResultConflict, "")}, "a", IsErrConflict, model.ResultConflict},
		{"refused after a lost answer", []step{lost, result(model.ResultInvalid, "")}, "ab", IsErrInvalid, model.ResultInvalid},
		{"wrong token", []step{fault(opsapi.FaultUnauthorized, "")}, "a", IsErrUnauthorized, model.ResultUnknown},
		{"malformed", []step{fault(opsapi.FaultMalformed, "")}, "a", IsErrFault, model.ResultUnknown},
		{"never an answer", []step{lost}, "abcabc", IsErrUnknown, model.ResultUnknown},
		{"always unknown", []step{result(model.ResultUnknown, "")}, "abcabc", IsErrUnknown, model.ResultUnknown},
		{"wrong token after a lost answer", []step{lost, fault(opsapi.FaultUnauthorized, "")}, "ab", IsErrUnknown, model.ResultUnknown},
		{"never a leader", []step{result(model.ResultNotLeader, "")}, "abcabc", IsErrUnreachable, model.ResultUnknown},
		{"another server", []step{page}, "abcabc", IsErrUnknown, model.ResultUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &fleet{script: tt.script}
			c, err := New(f.start(t, "a", "b", "c"), "token-of-an-operator", WithRounds(2, time.Millisecond))
			require.NoError(t, err)
			r, err := c.Propose(context.Background(), model.Proposal{Base: 7, Change: model.CreateWorkspace{Workspace: "w"}})
			require.True(t, tt.check(err), "got %v", err)
			asked, ids := f.seen()
			require.Equal(t, tt.asked, strings.Join(asked, ""))
			require.Equal(t, tt.kind, r.Kind)
			require.Equal(t, []string{string(r.ID)}, ids)
			require.NotContains(t, fmt.Sprint(err), "token-of-an-operator")
		})
	}
}

func isNil(err error) bool { return err == nil }

// Guards against a change reported as unknown that no host ever got.
func TestUnreachableHosts(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	require.NoError(t, l.Close())
	f := &fleet{script: []step{result(model.ResultAccepted, "")}}
	addrs := append([]Address{{Host: "gone", Addr: addr}}, f.start(t, "b")...)
	c, err := New(addrs, "t", WithRounds(2, time.Millisecond))
	require.NoError(t, err)
	_, err = c.Propose(context.Background(), model.Proposal{Change: model.CreateWorkspace{Workspace: "w"}})
	require.NoError(t, err)
	require.Equal(t, 1, c.start(), "the host that answered is asked first")

	c, err = New(addrs[:1], "t", WithRounds(2, time.Millisecond))
	require.NoError(t, err)
	_, err = c.Propose(context.Background(), model.Proposal{Change: model.CreateWorkspace{Workspace: "w"}})
	require.True(t, IsErrUnreachable(err), "got %v", err)
	_, err = c.Config(context.Background())
	require.True(t, IsErrUnreachable(err), "got %v", err)
	_, err = New(nil, "t")
	require.Error(t, err)
}

// Guards against a read that gives up while another host would answer, and against a key the digest does not match.
func TestReadsFollowTheLeader(t *testing.T) {
	f := &fleet{script: []step{lost, fault(opsapi.FaultNotLeader, "c"), func(w http.ResponseWriter, _ opsapi.Proposal) {
		_ = json.NewEncoder(w).Encode(opsapi.Evidence{Workspace: "shop-7", Proved: true})
	}}}
	c, err := New(f.start(t, "a", "b", "c"), "t", WithRounds(2, time.Millisecond))
	require.NoError(t, err)
	e, err := c.Silence(context.Background(), "shop-7")
	require.NoError(t, err)
	require.True(t, e.Proved)
	asked, _ := f.seen()
	require.Equal(t, []string{"a", "b", "c"}, asked)

	first, err := NewKey()
	require.NoError(t, err)
	second, err := NewKey()
	require.NoError(t, err)
	require.NotEqual(t, first, second)
	require.NotEqual(t, HashKey(first), HashKey(second))
}
