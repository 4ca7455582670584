package model

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a range check whose bounds are off by one or which accepts NaN, and
// against changed messages, which operators look up in the documentation.
func TestCheckErrorsNameFieldValueAndRange(t *testing.T) {
	defaults := func(change func(*Defaults)) error {
		d := InitialDefaults()
		change(&d)
		return d.Check()
	}
	tests := []struct {
		err  error
		want string
	}{
		{Limits{Rate: math.NaN(), Burst: 5}.Check(), "rate is NaN; it must be more than 0 and at most 1,000,000 requests per second"},
		{Limits{Rate: 0, Burst: 5}.Check(), "rate is 0; it must be more than 0 and at most 1,000,000 requests per second"},
		{Limits{Rate: 100, Burst: 5.5}.Check(), "burst is 5.5; it must be between 6 and 10,000,000 requests at this rate"},
		{Limits{Rate: 100, Burst: math.NaN()}.Check(), "burst is NaN; it must be between 6 and 10,000,000 requests at this rate"},
		{Limits{Rate: 1e6, Burst: 1e7}.Check(), ""},
		{Limits{Rate: 1, Burst: 2}.Check(), ""},
		{defaults(func(d *Defaults) { d.Deadline = MinDeadline - 1 }), "deadline is 9.999999ms; it must be between 10ms and 10m0s"},
		{defaults(func(d *Defaults) { d.Deadline = MaxDeadline }), ""},
		{defaults(func(d *Defaults) { d.RetryShare = -0.1 }), "retry_share is -0.1; it must be a share between 0 and 1"},
		{defaults(func(d *Defaults) { d.Floor = math.NaN() }), "floor is NaN; it must be a share between 0 and 1"},
		{defaults(func(d *Defaults) { d.Floor, d.RetryShare = 0, 1 }), ""},
		{defaults(func(d *Defaults) { d.Slots = 0 }), "slots is 0; it must be between 1 and 10000"},
		{defaults(func(d *Defaults) { d.Connections = 100001 }), "connections is 100001; it must be between 1 and 100000"},
		{defaults(func(d *Defaults) { d.QueueLimit, d.Slots = 100001, 0 }), "slots is 0; it must be between 1 and 10000"},
		{defaults(func(d *Defaults) { d.Objective.Availability = 1 }), "availability is 1; it must be a share between 0 and 1, such as 0.999"},
		{defaults(func(d *Defaults) { d.Objective.LatencyShare = 0 }), "latency_share is 0; it must be a share between 0 and 1, such as 0.99"},
		{defaults(func(d *Defaults) { d.Objective.Latency = time.Hour }), "latency is 1h0m0s; it must be between 10ms and 10m0s"},
		{Route{Name: "-r", PathPrefix: "/"}.Check(), `route is "-r"; it must be 1 to 64 letters, digits, '.', '-' or '_', starting with a letter or digit`},
		{Route{Name: RouteName(strings.Repeat("r", 64)), PathPrefix: "/"}.Check(), ""},
		{Route{Name: "r", PathPrefix: "/a b"}.Check(), `path_prefix is "/a b"; it must be a path that starts with '/', without query or spaces`},
		{Route{Name: "r", PathPrefix: "/", Methods: []string{"GET", "get"}}.Check(), `methods is "get"; it must be HTTP methods in capitals, such as GET`},
		{Route{Name: "r", PathPrefix: "/", Idempotent: true, RequireOrderKey: true}.Check(), "require_order_key is true; it must be false on an idempotent route, which needs no order key"},
		{Exception{ID: "e", Reason: " "}.Check(), "reason is 1 bytes long; it must be a written reason of 1 to 1000 bytes"},
		{Exception{ID: "e", Reason: "r"}.Check(), "override is missing; it must be one of limits, deadline, floor, objective"},
		{Exception{ID: "e", Reason: "r", Override: FloorOverride{Floor: 2}}.Check(), "floor is 2; it must be a share between 0 and 1"},
	}
	for _, tt := range tests {
		if tt.want == "" {
			require.NoError(t, tt.err)
			continue
		}
		require.True(t, IsErrInvalid(tt.err), tt.want)
		require.EqualError(t, tt.err, tt.want)
	}
}
