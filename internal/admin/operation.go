package admin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"tarragongauge.example/tarragongauge/pkg/model"
	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

// propose submits a change in the name of the actor. If there is no result in
// time, the operator gets a result of kind unknown instead of an error, since the
// change may still be applied.
func (s *Server) propose(w http.ResponseWriter, r *http.Request, actor string) error {
	var body opsapi.Proposal
	if err := readJSON(r, &body); err != nil {
		return err
	}
	p, err := body.Model()
	if err != nil {
		return errMalformed{cause: err}
	}
	p.Actor, p.UnixMilli = actor, s.now().UnixMilli()
	result, err := s.backend.Propose(r.Context(), p)
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		result, err = model.Result{ID: p.ID, Kind: model.ResultUnknown, Message: "no result in time; submit the change again with the same change id"}, nil
	}
	if err != nil {
		return err
	}
	s.log.Info("change", "actor", actor, "change_id", string(p.ID), "change", fmt.Sprintf("%T", p.Change), "base", uint64(p.Base), "kind", opsapi.FromResult(result).Kind, "version", uint64(result.Version))
	s.writeJSON(w, opsapi.ResultStatus(result.Kind), opsapi.FromResult(result))
	return nil
}

func (s *Server) config(w http.ResponseWriter, r *http.Request, _ string) error {
	cfg, err := s.backend.Config(r.Context())
	if err != nil {
		return err
	}
	s.writeJSON(w, http.StatusOK, opsapi.FromConfig(cfg))
	return nil
}

func (s *Server) version(w http.ResponseWriter, r *http.Request, _ string) error {
	cfg, err := s.backend.Config(r.Context())
	if err != nil {
		return err
	}
	s.writeJSON(w, http.StatusOK, opsapi.Version{Version: uint64(cfg.Version)})
	return nil
}

func (s *Server) history(w http.ResponseWriter, r *http.Request, _ string) error {
	n := opsapi.DefaultHistoryEntries
	if limit := r.URL.Query().Get("limit"); limit != "" {
		var err error
		n, err = strconv.Atoi(limit)
		if err != nil || n < 1 || n > opsapi.MaxHistoryEntries {
			return errMalformed{cause: fmt.Errorf("limit is %q; give a number from 1 to %d", limit, opsapi.MaxHistoryEntries)}
		}
	}
	entries, err := s.backend.History(r.Context(), n)
	if err != nil {
		return err
	}
	if entries == nil {
		entries = []opsapi.AuditEntry{}
	}
	s.writeJSON(w, http.StatusOK, opsapi.History{Entries: entries})
	return nil
}

func (s *Server) silence(w http.ResponseWriter, r *http.Request, _ string) error {
	e, err := s.backend.Silence(r.Context(), model.WorkspaceID(r.PathValue("workspace")))
	if err != nil {
		return err
	}
	s.writeJSON(w, http.StatusOK, e)
	return nil
}

func (s *Server) status(w http.ResponseWriter, r *http.Request, _ string) error {
	status, err := s.backend.Status(r.Context())
	if err != nil {
		return err
	}
	s.writeJSON(w, http.StatusOK, status)
	return nil
}

func (s *Server) burn(w http.ResponseWriter, r *http.Request, _ string) error {
	data, err := s.backend.Burn(r.Context())
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(data) // fails only if the client has disconnected
	return nil
}

func (s *Server) clearQuarantine(w http.ResponseWriter, r *http.Request, actor string) error {
	var body opsapi.QuarantineClear
	if err := readJSON(r, &body); err != nil {
		return err
	}
	if body.Service == "" || body.Workspace == "" {
		return errMalformed{cause: errors.New("service or workspace is missing; give both")}
	}
	err := s.backend.ClearQuarantine(r.Context(), model.ServiceName(body.Service), model.WorkspaceID(body.Workspace))
	if err != nil {
		return err
	}
	s.log.Info("quarantine cleared", "actor", actor, "service", body.Service, "workspace", body.Workspace)
	w.WriteHeader(http.StatusNoContent)
	return nil
}
