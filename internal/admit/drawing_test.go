package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// drawingWallet counts the requests for which targets may be asked ahead.
type drawingWallet struct {
	*Limiter
	asks    []proto.DrawAsk
	drawing map[model.RequestID]bool
}

func newDrawingWallet(owner model.HostID) *drawingWallet {
	w := &drawingWallet{Limiter: NewLimiter("e"), drawing: map[model.RequestID]bool{}}
	w.Step(0, OwnersChanged{Owners: []proto.Owner{{Shard: model.WorkspaceShard("w"), Host: owner}}})
	return w
}

func (w *drawingWallet) step(now time.Duration, ev Event) {
	for _, e := range w.Step(model.Instant(now), ev) {
		switch e := e.(type) {
		case Send:
			w.asks = append(w.asks, e.Msg.(proto.DrawAsk))
		case TokenExpected:
			w.drawing[e.Request] = true
		case TokenDelayed:
			delete(w.drawing, e.Request)
		case Admitted:
			delete(w.drawing, e.Request)
		}
	}
}

func (w *drawingWallet) arrive(now time.Duration, id int) {
	w.step(now, Arrived{Request: model.RequestID(fmt.Sprint(id)), Workspace: "w", Deadline: model.Instant(now + time.Minute)})
}

// answer answers the draws under way with one token each, or with none.
func (w *drawingWallet) answer(now time.Duration, granted int) {
	asks := w.asks
	w.asks = nil
	for _, a := range asks {
		w.step(now, Received{From: "o", Msg: proto.DrawReply{Nonce: a.Nonce, Workspace: "w", GrantedTokens: granted, ValidFor: maxValid, RetryAfter: 20 * time.Millisecond}})
	}
}

// Guards against a workspace above its rate that keeps targets from others
// while its requests wait for tokens.
func TestNoTargetAheadWhileTokensAreShort(t *testing.T) {
	w := newDrawingWallet("o")
	for i := range 100 {
		w.arrive(0, i)
	}
	require.Len(t, w.drawing, maxDraws, "no more than the draws under way can serve at once")
	w.answer(time.Millisecond, 0)
	require.Empty(t, w.drawing, "tokens are short")
	now := 2 * time.Millisecond
	for ; now < scarceTime; now += 10 * time.Millisecond {
		w.arrive(now, 1000+int(now/time.Millisecond))
		w.answer(now+time.Millisecond, 0)
		w.step(now+2*time.Millisecond, Tick{})
		require.Empty(t, w.drawing, "at %s", now)
	}
}

// Guards against a target that is kept while the owner of the tokens is lost
// or unknown, and against a small workspace that never asks ahead again.
func TestTargetAheadForOneRoundTrip(t *testing.T) {
	w := newDrawingWallet("o")
	w.arrive(0, 1)
	require.Len(t, w.drawing, 1)
	w.step(10*time.Millisecond, Tick{})
	require.Len(t, w.drawing, 1)
	w.step(resendAfter, Tick{})
	require.Empty(t, w.drawing, "the owner does not answer")
	w.answer(30*time.Millisecond, 1)

	w.arrive(3*time.Second, 2)
	require.Len(t, w.drawing, 1)
	w.answer(3*time.Second+time.Millisecond, 1)
	require.Empty(t, w.drawing, "admitted")

	w = newDrawingWallet("")
	w.arrive(0, 1)
	require.Empty(t, w.drawing, "there is no owner")
}
