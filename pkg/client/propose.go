package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/go-resty/resty/v2"

	"tarragongauge.example/tarragongauge/pkg/model"
	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

// Propose submits a change until its result is known. Without an error the
// change was accepted. ErrConflict, ErrInvalid and ErrUnreachable mean that it
// was not, ErrUnknown that it may be. An empty change id is filled in; the
// returned result names it in every case.
func (c *Client) Propose(ctx context.Context, p model.Proposal) (model.Result, error) {
	if p.ID == "" {
		id, err := NewChangeID()
		if err != nil {
			return model.Result{}, err
		}
		p.ID = id
	}
	body, err := opsapi.FromProposal(p)
	if err != nil {
		return model.Result{ID: p.ID, Kind: model.ResultInvalid}, err
	}
	a := &attempt{client: c, body: body, result: model.Result{ID: p.ID, Kind: model.ResultUnknown}}
	err = c.each(ctx, func(addr Address) (next, error) { return a.ask(ctx, addr) })
	return a.result, a.conclude(err)
}

// attempt is one change on its way over several hosts.
type attempt struct {
	client *Client
	body   opsapi.Proposal
	// result is the newest definite result, or unknown.
	result model.Result
	// reached is set once a host may have taken the change.
	reached bool
}

func (a *attempt) ask(ctx context.Context, addr Address) (next, error) {
	resp, err := a.client.send(ctx, addr, http.MethodPost, opsapi.PathChanges, a.body)
	if err != nil {
		a.reached = a.reached || !neverSent(err)
		return next{again: true}, err
	}
	r, ok := readResult(resp, a.body.ChangeID)
	if !ok {
		n, err := follow(addr, resp)
		a.reached = a.reached || isFault(err, opsapi.FaultInternal)
		return n, err
	}
	switch r.Kind {
	case model.ResultAccepted:
		a.result = r
		return next{}, nil
	case model.ResultConflict:
		a.result = r
		return next{}, ErrConflict{Result: r}
	case model.ResultInvalid:
		a.result = r
		return next{}, ErrInvalid{Result: r}
	case model.ResultNotLeader:
		return next{again: true, leader: r.Leader}, fmt.Errorf("control host %s does not lead", addr.Host)
	default:
		a.reached = true
		return next{again: true}, fmt.Errorf("control host %s: %s", addr.Host, r.Message)
	}
}

// readResult returns the result in an answer, and false if the answer is something else.
func readResult(resp *resty.Response, id string) (model.Result, bool) {
	var body opsapi.Result
	if err := json.Unmarshal(resp.Body(), &body); err != nil || body.ChangeID != id {
		return model.Result{}, false
	}
	r := body.Model()
	return r, resp.StatusCode() == opsapi.ResultStatus(r.Kind)
}

// conclude turns the error of the last host into what holds for the change.
func (a *attempt) conclude(last error) error {
	definite := last == nil || IsErrConflict(last) || IsErrInvalid(last)
	switch {
	case definite:
		return last
	case a.reached:
		return ErrUnknown{Change: a.result.ID, Cause: last}
	case IsErrFault(last):
		return last
	default:
		return ErrUnreachable{Cause: last}
	}
}
