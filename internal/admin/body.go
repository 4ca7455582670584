package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"tarragongauge.example/tarragongauge/pkg/model"
	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

// errMalformed reports that a request could not be parsed or has invalid parameters.
type errMalformed struct{ cause error }

func (e errMalformed) Error() string { return fmt.Sprintf("malformed request: %v", e.cause) }

func (e errMalformed) Unwrap() error { return e.cause }

// readJSON decodes the body of a request into v. The body must be exactly one
// JSON value without unknown fields.
func readJSON(r *http.Request, v any) error {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return errMalformed{cause: err}
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errMalformed{cause: errors.New("the body has something after its value")}
	}
	return nil
}

func (s *Server) writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		s.log.Error(err, "failed to encode a response")
		http.Error(w, "the answer could not be encoded; report this with the server's log", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n')) // fails only if the client has disconnected
}

func (s *Server) writeFault(w http.ResponseWriter, f opsapi.Fault) {
	s.writeJSON(w, f.Kind.Status(), f)
}

// writeError answers a request with the fault for an error, and logs internal errors.
func (s *Server) writeError(w http.ResponseWriter, r *http.Request, err error) {
	f := faultOf(err)
	if f.Kind == opsapi.FaultInternal {
		s.log.Error(err, "operator's request failed", "path", r.URL.Path)
	}
	s.writeFault(w, f)
}

// faultOf returns the fault that reports an error to the operator.
func faultOf(err error) opsapi.Fault {
	f := opsapi.Fault{Kind: opsapi.FaultInternal, Message: err.Error()}
	var tooLong *http.MaxBytesError
	var malformed errMalformed
	var notLeader ErrNotLeader
	var unavailable ErrUnavailable
	switch {
	case errors.As(err, &tooLong):
		f.Kind, f.Message = opsapi.FaultTooLong, fmt.Sprintf("the body exceeds %d bytes; send less or raise [limits] operators_bytes", tooLong.Limit)
	case errors.As(err, &malformed):
		f.Kind = opsapi.FaultMalformed
	case errors.As(err, &notLeader):
		f.Kind, f.Leader = opsapi.FaultNotLeader, string(notLeader.Leader)
	case errors.As(err, &unavailable):
		f.Kind = opsapi.FaultUnavailable
	case errors.Is(err, context.DeadlineExceeded):
		f.Kind, f.Message = opsapi.FaultUnavailable, "no answer in time; try again in a few seconds"
	case model.IsErrNotFound(err):
		f.Kind = opsapi.FaultNotFound
	}
	return f
}
