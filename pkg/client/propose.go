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

// Propose submits a change to one control host after the other until its result
// is known. If it returns no error, the change was accepted. ErrConflict,
// ErrInvalid, ErrUnreachable and ErrFault mean that it was not accepted, and
// ErrUnknown that it may be accepted, now or later. If the change id of the
// proposal is empty, Propose uses a new one. The returned result has the change
// id also if an error is returned.
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
	a := &submission{client: c, body: body, result: model.Result{ID: p.ID, Kind: model.ResultUnknown}}
	err = c.tryHosts(ctx, func(addr Address) (decision, error) { return a.submit(ctx, addr) })
	return a.result, a.finalError(err)
}

// submission is the state of a change that is submitted to one control host after the other.
type submission struct {
	client *Client
	body   opsapi.Proposal
	// result is the result of the change. Its kind is ResultUnknown until a host reports a definite result.
	result model.Result
	// mayBeTaken is set once a host may have taken the change, so that it may be accepted later.
	mayBeTaken bool
}

// submit sends the change to one control host and evaluates the response.
func (a *submission) submit(ctx context.Context, addr Address) (decision, error) {
	resp, err := a.client.send(ctx, addr, http.MethodPost, opsapi.PathChanges, a.body)
	if err != nil {
		a.mayBeTaken = a.mayBeTaken || !wasNotSent(err)
		return decision{retry: true}, err
	}
	r, ok := readResult(resp, a.body.ChangeID)
	if !ok {
		next, err := parseFault(addr, resp)
		a.mayBeTaken = a.mayBeTaken || isFault(err, opsapi.FaultInternal)
		return next, err
	}
	switch r.Kind {
	case model.ResultAccepted:
		a.result = r
		return decision{}, nil
	case model.ResultConflict:
		a.result = r
		return decision{}, ErrConflict{Result: r}
	case model.ResultInvalid:
		a.result = r
		return decision{}, ErrInvalid{Result: r}
	case model.ResultNotLeader:
		return decision{retry: true, leader: r.Leader}, fmt.Errorf("control host %s does not lead", addr.Host)
	default:
		a.mayBeTaken = true
		return decision{retry: true}, fmt.Errorf("control host %s: %s", addr.Host, r.Message)
	}
}

// readResult returns the result in a response. It returns false if the response
// is not the result of the change with the id or if its HTTP status does not
// belong to the result.
func readResult(resp *resty.Response, id string) (model.Result, bool) {
	var body opsapi.Result
	if err := json.Unmarshal(resp.Body(), &body); err != nil || body.ChangeID != id {
		return model.Result{}, false
	}
	r := body.Model()
	return r, resp.StatusCode() == opsapi.ResultStatus(r.Kind)
}

// finalError returns the error of Propose, given the error of the last control host.
func (a *submission) finalError(last error) error {
	definite := last == nil || IsErrConflict(last) || IsErrInvalid(last)
	switch {
	case definite:
		return last
	case a.mayBeTaken:
		return ErrUnknown{Change: a.result.ID, Cause: last}
	default:
		return wrapUnreachable(last)
	}
}
