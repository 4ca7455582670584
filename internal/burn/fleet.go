package burn

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// FleetCounts holds the merged counts of all hosts that replied, and the other
// inputs of a report.
type FleetCounts struct {
	// At is the minute for which the counts were collected.
	At Minute
	// Config has the objectives and limits that the report applies.
	Config model.Config
	Set    SeriesSet
	// Hosts is the number of hosts that replied; Missing lists those that did not.
	Hosts   int
	Missing []model.HostID
}

// wireFleet is the encoded form of FleetCounts.
type wireFleet struct {
	_       struct{} `cbor:",toarray"`
	At      int64
	Config  []byte
	Set     []byte
	Hosts   int
	Missing []string
}

// Report computes the report over the counts.
func (f FleetCounts) Report() Report {
	return NewReport(f.At, f.Config, f.Set, f.Hosts, f.Missing)
}

// Encode returns the counts encoded as CBOR.
func (f FleetCounts) Encode() ([]byte, error) {
	cfg, err := codec.EncodeConfig(f.Config)
	if err != nil {
		return nil, err
	}
	set, err := Encode(f.Set)
	if err != nil {
		return nil, err
	}
	w := wireFleet{At: int64(f.At), Config: cfg, Set: set, Hosts: f.Hosts}
	for _, h := range f.Missing {
		w.Missing = append(w.Missing, string(h))
	}
	data, err := cbor.Marshal(w)
	return data, eris.Wrap(err, "encode the counters of the fleet")
}

// DecodeFleet returns the counts that FleetCounts.Encode encoded.
func DecodeFleet(data []byte) (FleetCounts, error) {
	var w wireFleet
	if err := cbor.Unmarshal(data, &w); err != nil {
		return FleetCounts{}, eris.Wrap(err, "decode the counters of the fleet")
	}
	cfg, err := codec.DecodeConfig(w.Config)
	if err != nil {
		return FleetCounts{}, err
	}
	set, err := Decode(w.Set)
	if err != nil {
		return FleetCounts{}, err
	}
	f := FleetCounts{At: Minute(w.At), Config: cfg, Set: set, Hosts: w.Hosts}
	for _, h := range w.Missing {
		f.Missing = append(f.Missing, model.HostID(h))
	}
	return f, nil
}
