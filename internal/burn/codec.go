package burn

import (
	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// wireCell and wireSeries are the encoded forms.
type wireCell struct {
	_       struct{} `cbor:",toarray"`
	Minute  int64
	Total   uint64
	Failed  uint64
	Slow    uint64
	Limited uint64
	NoOwner uint64
}

type wireSeries struct {
	_         struct{} `cbor:",toarray"`
	Service   string
	Workspace string
	Cells     []wireCell
	Latency   []byte
}

// Encode returns a set as CBOR, with compressed histograms.
func Encode(s Set) ([]byte, error) {
	out := make([]wireSeries, 0, len(s))
	for _, id := range s.IDs() {
		series := s[id]
		latency, err := series.Latency.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
		if err != nil {
			return nil, eris.Wrapf(err, "encode the latencies of service %q", id.Service)
		}
		w := wireSeries{Service: string(id.Service), Workspace: string(id.Workspace), Latency: latency}
		for m, c := range series.Cells {
			w.Cells = append(w.Cells, wireCell{Minute: int64(m), Total: c.Total, Failed: c.Failed, Slow: c.Slow, Limited: c.Limited, NoOwner: c.NoOwner})
		}
		out = append(out, w)
	}
	data, err := cbor.Marshal(out)
	return data, eris.Wrap(err, "encode service-level counters")
}

// Decode returns the set in CBOR data.
func Decode(data []byte) (Set, error) {
	var in []wireSeries
	if err := cbor.Unmarshal(data, &in); err != nil {
		return nil, eris.Wrap(err, "decode service-level counters")
	}
	set := Set{}
	for _, w := range in {
		series := newSeries()
		for _, c := range w.Cells {
			series.add(Minute(c.Minute), Cell{Total: c.Total, Failed: c.Failed, Slow: c.Slow, Limited: c.Limited, NoOwner: c.NoOwner})
		}
		latency, err := hdrhistogram.Decode(w.Latency)
		if err != nil {
			return nil, eris.Wrapf(err, "decode the latencies of service %q", w.Service)
		}
		series.Latency.Merge(latency)
		set[SeriesID{Service: model.ServiceName(w.Service), Workspace: model.WorkspaceID(w.Workspace)}] = series
	}
	return set, nil
}
