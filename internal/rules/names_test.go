package rules

import (
	"go/ast"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Go names of types that leave the process: message types label the metric
// link_traffic, change types stand in the operators' log.
const (
	messageNames = "AnswerSave Append AppendReply BurnAsk BurnReply DrawAsk DrawReply EvidenceAsk EvidenceReply FreshAsk FreshReply Hello " +
		"InstallSnapshot JoinAsk JournalCopyAsk JournalCopyReply JournalFormAsk JournalFormReply LeaseAsk LeaseReply LeaveNotice Part PartAsk PeerAsk " +
		"PeerReply ProbeResult ProposeAsk ProposeReply QuarantineClear ReserveAsk ReserveFree ReserveReply RestoreAck RestoreReport SeatLearn " +
		"SeatLearnReply SeatStage SeatStageReply ShareAsk ShareGift SlotAsk SlotCancel SlotDone SlotReply StandbyAck StandbyNote StatusAsk StatusReply TargetNews " +
		"TargetsStored " +
		"ViewAsk ViewReply VoteAsk VoteReply"
	changeNames = "CreateWorkspace EditContent EvacuateZone IssueKey PutException PutRoute PutService RemoveException RemoveRoute ReplaceContent " +
		"ReturnZone SetControls SetDefaults SetSeats SetWorkspacePriority WithdrawKey WithdrawWorkspace"
)

// Guards against a rename of a Go type whose name is read by operators and their
// tools, which the compiler does not notice.
func TestTypeNamesThatLeaveTheProcess(t *testing.T) {
	require.Equal(t, messageNames, receiversOf(t, "internal/proto", "isMessage"))
	require.Equal(t, changeNames, receiversOf(t, "pkg/model", "isChange"))
}

// receiversOf returns the sorted names of the types in a package that have a method.
func receiversOf(t *testing.T, dir, method string) string {
	t.Helper()
	_, files := parseSources(t, dir)
	var names []string
	for _, f := range files {
		for _, d := range f.Decls {
			fn, ok := d.(*ast.FuncDecl)
			if !ok || fn.Recv == nil || fn.Name.Name != method {
				continue
			}
			if id, ok := fn.Recv.List[0].Type.(*ast.Ident); ok {
				names = append(names, id.Name)
			}
		}
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}
