package codec

import (
	"tarragongauge.example/tarragongauge/pkg/model"
)

type resultDTO struct {
	ID      model.ChangeID   `cbor:"1,keyasint"`
	Kind    model.ResultKind `cbor:"2,keyasint"`
	Version model.Version    `cbor:"3,keyasint"`
	Message string           `cbor:"4,keyasint"`
	Leader  model.HostID     `cbor:"5,keyasint"`
}

// EncodeResult encodes the result of a proposal.
func EncodeResult(r model.Result) ([]byte, error) {
	return encode("result", resultDTO(r))
}

// DecodeResult decodes the result of a proposal.
func DecodeResult(data []byte) (model.Result, error) {
	var dto resultDTO
	if err := decode("result", data, &dto); err != nil {
		return model.Result{}, err
	}
	return resultFromDTO(dto)
}

func resultFromDTO(dto resultDTO) (model.Result, error) {
	if dto.Kind < model.ResultAccepted || dto.Kind > model.ResultSuperseded {
		return model.Result{}, malformed("result", "unknown kind %d", dto.Kind)
	}
	return model.Result(dto), nil
}
