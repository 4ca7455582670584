package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// recordingLimiter records the draws without an answer and the waiting requests
// for which TokenExpected holds. Targets may be asked for ahead for these.
type recordingLimiter struct {
	*Limiter
	asks      []proto.DrawAsk
	expecting map[model.RequestID]bool
}

func newRecordingLimiter(owner model.HostID) *recordingLimiter {
	l := &recordingLimiter{Limiter: NewLimiter("e"), expecting: map[model.RequestID]bool{}}
	l.Step(0, OwnersChanged{Owners: []proto.Owner{{Shard: model.WorkspaceShard("w"), Host: owner}}})
	return l
}

// step applies an event and records its draws and which requests expect a token.
func (l *recordingLimiter) step(now time.Duration, ev Event) {
	for _, e := range l.Step(model.Instant(now), ev) {
		switch e := e.(type) {
		case Send:
			l.asks = append(l.asks, e.Msg.(proto.DrawAsk))
		case TokenExpected:
			l.expecting[e.Request] = true
		case TokenDelayed:
			delete(l.expecting, e.Request)
		case Admitted:
			delete(l.expecting, e.Request)
		}
	}
}

func (l *recordingLimiter) arrive(now time.Duration, id int) {
	l.step(now, Arrived{Request: model.RequestID(fmt.Sprint(id)), Workspace: "w", Deadline: model.Instant(now + time.Minute)})
}

// answer answers each draw in flight with the same number of tokens.
func (l *recordingLimiter) answer(now time.Duration, granted int) {
	asks := l.asks
	l.asks = nil
	for _, a := range asks {
		l.step(now, Received{From: "o", Msg: proto.DrawReply{Nonce: a.Nonce, Workspace: "w", GrantedTokens: granted, ValidFor: maxTokenValidity, RetryAfter: 20 * time.Millisecond}})
	}
}

// TestNoTokenIsExpectedWhileTokensAreShort guards against a workspace above its
// rate that keeps targets from other workspaces while its requests wait for
// tokens.
func TestNoTokenIsExpectedWhileTokensAreShort(t *testing.T) {
	l := newRecordingLimiter("o")
	for i := range 100 {
		l.arrive(0, i)
	}
	require.Len(t, l.expecting, maxPendingDraws, "no more than the draws in flight can serve at once")
	l.answer(time.Millisecond, 0)
	require.Empty(t, l.expecting, "tokens are short")
	now := 2 * time.Millisecond
	for ; now < scarcityPeriod; now += 10 * time.Millisecond {
		l.arrive(now, 1000+int(now/time.Millisecond))
		l.answer(now+time.Millisecond, 0)
		l.step(now+2*time.Millisecond, Tick{})
		require.Empty(t, l.expecting, "at %s", now)
	}
}

// TestTokenIsExpectedForOneRoundTrip guards against a target that is kept while
// the owner of the bucket is lost or unknown, and against a workspace with few
// requests for which no token is expected again after such a loss.
func TestTokenIsExpectedForOneRoundTrip(t *testing.T) {
	l := newRecordingLimiter("o")
	l.arrive(0, 1)
	require.Len(t, l.expecting, 1)
	l.step(10*time.Millisecond, Tick{})
	require.Len(t, l.expecting, 1)
	l.step(resendInterval, Tick{})
	require.Empty(t, l.expecting, "the owner does not answer")
	l.answer(30*time.Millisecond, 1)

	l.arrive(3*time.Second, 2)
	require.Len(t, l.expecting, 1)
	l.answer(3*time.Second+time.Millisecond, 1)
	require.Empty(t, l.expecting, "admitted")

	l = newRecordingLimiter("")
	l.arrive(0, 1)
	require.Empty(t, l.expecting, "there is no owner")
}
