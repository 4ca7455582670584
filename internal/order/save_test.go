package order_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/order"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// TestAnswerIsStoredWithoutItsReservation guards against a resend that gets no answer because
// the journal that it asks missed the reservation, although that journal got the answer.
func TestAnswerIsStoredWithoutItsReservation(t *testing.T) {
	ids := []model.HostID{"j0", "j1", "j2"}
	body := model.BodyHash{7}
	for name, earlier := range map[string][]proto.Message{
		"no record":           nil,
		"given up by another": {proto.ReserveFree{Workspace: "ws", OrderKey: "o", Holder: "z"}},
	} {
		t.Run(name, func(t *testing.T) {
			d := formedDisk()
			j := order.NewJournal("j0", ids, d.recovered(), false)
			step := func(from model.HostID, m proto.Message) (sent []order.Effect) {
				effs := j.Step(1, order.Received{From: from, Msg: m})
				for len(effs) > 0 {
					if _, ok := effs[0].(order.Send); ok {
						sent = append(sent, effs[0])
					}
					effs = append(effs[1:], performDiskEffect(1, j, d, effs[0])...)
				}
				return sent
			}
			for _, m := range earlier {
				step("e1", m)
			}
			step("e1", proto.AnswerSave{Workspace: "ws", OrderKey: "o", Holder: "a", BodyHash: body, Answer: proto.StoredAnswer{Status: 201}})
			effs := step("e2", proto.ReserveAsk{Nonce: 1, Workspace: "ws", OrderKey: "o", BodyHash: body, Holder: "b", JournalsDigest: order.JournalListDigest(ids)})
			require.Len(t, effs, 1)
			reply := effs[0].(order.Send).Msg.(proto.ReserveReply)
			require.Equal(t, proto.ReserveTaken, reply.Status)
			require.Equal(t, body, reply.BodyHash)
			require.Equal(t, 201, reply.Answer.Status)
		})
	}
}
