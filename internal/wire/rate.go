package wire

import (
	"fmt"
	"math"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

type namedRate struct {
	Target      model.TargetID    `cbor:"1,keyasint"`
	Incarnation model.Incarnation `cbor:"2,keyasint"`
	Rate        float64           `cbor:"3,keyasint"`
}

func toNamedRates(list []proto.NamedRate) []namedRate {
	return convertSlice(list, func(x proto.NamedRate) namedRate { return namedRate(x) })
}

func fromNamedRates(list []namedRate) ([]proto.NamedRate, error) {
	for _, x := range list {
		if err := checkRate(x.Rate); err != nil {
			return nil, err
		}
	}
	return convertSlice(list, func(x namedRate) proto.NamedRate { return proto.NamedRate(x) }), nil
}

// checkRate refuses rates of targets that are negative or no finite number.
func checkRate(v float64) error {
	if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		return fmt.Errorf("rate %g of a target is not a finite number of at least 0", v)
	}
	return nil
}
