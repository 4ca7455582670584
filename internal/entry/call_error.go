package entry

import (
	"net/http"

	"tarragongauge.example/tarragongauge/internal/order"
	"tarragongauge.example/tarragongauge/pkg/model"
)

func keyWithdrawn() *ErrRefused {
	return refuse(http.StatusUnauthorized, CodeKeyWithdrawn, "the key was withdrawn; ask the operators for a valid key")
}

func notFresh() *ErrRefused {
	return refuse(http.StatusServiceUnavailable, CodeNotFresh, "this host cannot confirm its configuration; send the request again, to another host").withRetryAfter(defaultRetryAfter)
}

func keyInRequest() *ErrRefused {
	return refuse(http.StatusBadRequest, CodeKeyInRequest, "the key occurs in the path, the Host header or the body; send it in its header only").withClose()
}

func bodyTooLarge(limit int64) *ErrRefused {
	return refuse(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, "the body exceeds %d bytes; send less in one request", limit).withClose()
}

func storedInvalid() *ErrRefused {
	return refuse(http.StatusBadGateway, CodeTargetInvalid, "the order was sent to a target whose answer was invalid; check whether it took effect before sending it with another order key").withOutcome(model.OutcomeUnknown)
}

// reservationRefused returns the error answer to an order that may not run.
func reservationRefused(reason order.StopReason) *ErrRefused {
	switch reason {
	case order.StopBodyDiffers:
		return refuse(http.StatusConflict, CodeOrderKeyReused, "the order key was used for a different order; send a new order key").withOutcome(model.OutcomeNotRun)
	case order.StopInFlight:
		return refuse(http.StatusConflict, CodeOrderInFlight, "an earlier request with this order key may still run or has run; send it again later with the same order key to learn its answer").withOutcome(model.OutcomeUnknown)
	default:
		return refuse(http.StatusServiceUnavailable, CodeNoJournalMajority, "no majority of journal hosts answered; send the request again with the same order key").withRetryAfter(defaultRetryAfter)
	}
}

func deadlinePassed() *ErrRefused {
	return refuse(http.StatusGatewayTimeout, CodeDeadlineExceeded, "the deadline passed; send the request again or allow more time in %s", headerDeadline)
}
