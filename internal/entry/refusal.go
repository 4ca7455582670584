package entry

import (
	"strconv"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// refusalReason is why a request was refused, as logs and metrics name it. It is
// empty for a request that was not refused, or for another cause.
type refusalReason string

// reasonRate means that the workspace is over its rate. It is decided before a target
// is asked for; the other reasons are those of pool.RefusalReason.
const reasonRate refusalReason = "rate"

// maxRankNumber bounds the numbers in rank labels, and with it the number of series
// in the metrics. It is above the number of priorities that any deployment uses.
const maxRankNumber = 15

// RankLabel returns a rank as "workspace.route". Numbers above maxRankNumber are
// shown as that number and "+".
func RankLabel(r model.Rank) string {
	return rankNumber(r.Workspace) + "." + rankNumber(r.Route)
}

func rankNumber(n int) string {
	if n > maxRankNumber {
		return strconv.Itoa(maxRankNumber) + "+"
	}
	return strconv.Itoa(max(0, n))
}

// rank returns the rank of the request for logs and metrics, or an empty string if
// no route matched.
func (c *call) rank() string {
	if c.route.Service == "" {
		return ""
	}
	return RankLabel(c.cfg.RankFor(c.workspace, c.route))
}
