package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"math"
	"net"
	"net/http"
	"net/netip"
	"strings"

	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// maxNameLength bounds the names of targets and zones in bytes.
	maxNameLength    = 253
	announcementPath = "/v1/announce"
)

// announcement is the JSON form of model.Announcement, as targets send it.
type announcement struct {
	Service     string  `json:"service"`
	Target      string  `json:"target"`
	Addr        string  `json:"addr"`
	Zone        string  `json:"zone"`
	Slots       int     `json:"slots"`
	Incarnation uint64  `json:"incarnation"`
	State       string  `json:"state"`
	Load        float64 `json:"load"`
	ColdMs      float64 `json:"cold_ms"`
}

// AnnouncementHandler returns the handler that accepts announcements from targets.
func (s *Server) AnnouncementHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+announcementPath, s.handleAnnouncement)
	return mux
}

// handleAnnouncement passes the announcement of a target to the decider. An
// invalid announcement is refused.
func (s *Server) handleAnnouncement(w http.ResponseWriter, r *http.Request) {
	a, err := s.readAnnouncement(w, r)
	if err != nil {
		err.write(w, "", "", 0, false)
		return
	}
	s.decider.Announce(a)
	w.WriteHeader(http.StatusNoContent)
}

// readAnnouncement reads, authorizes and validates an announcement.
func (s *Server) readAnnouncement(w http.ResponseWriter, r *http.Request) (model.Announcement, *ErrRefused) {
	var in announcement
	body := http.MaxBytesReader(w, r.Body, s.limits.MaxAnnouncement)
	if err := json.NewDecoder(body).Decode(&in); err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return model.Announcement{}, refuse(http.StatusRequestEntityTooLarge, CodeBadAnnouncement, "the announcement exceeds %d bytes; send only the documented fields", large.Limit)
		}
		return model.Announcement{}, badAnnouncement("the body is not the expected JSON; send the documented fields")
	}
	if !s.validSecret(model.ServiceName(in.Service), presentedKeys(r.Header, s.headerNames.KeyScheme)) {
		return model.Announcement{}, refuse(http.StatusForbidden, CodeAnnouncementRefused, "the service does not exist or the secret is wrong; check the target's service name and its announcement secret")
	}
	return in.validate(r.RemoteAddr, s.checkPeer)
}

// validSecret reports whether the request presents the announcement secret of
// the service, and only that. It compares in constant time, also for a service
// that does not exist, so that the response time does not reveal which ones do.
func (s *Server) validSecret(name model.ServiceName, secrets []string) bool {
	service, ok := s.decider.Config().Services.Get(name)
	if len(secrets) != 1 {
		return false
	}
	hash := sha256.Sum256([]byte(secrets[0]))
	return subtle.ConstantTimeCompare(hash[:], service.AnnounceHash[:]) == 1 && ok
}

// validate checks the fields and returns them as a model.Announcement. peer is
// the remote address of the request, compared with addr if checkPeer is set.
func (in announcement) validate(peer string, checkPeer bool) (model.Announcement, *ErrRefused) {
	state, ok := parseTargetState(in.State)
	if !ok {
		return model.Announcement{}, badAnnouncement("state %q is not known; send ready, draining or leaving", in.State)
	}
	if !validName(in.Target) || !validName(in.Zone) {
		return model.Announcement{}, badAnnouncement("target and zone must be 1 to %d printable characters without spaces", maxNameLength)
	}
	addr, err := netip.ParseAddrPort(in.Addr)
	if err != nil || !IsTargetAddr(addr) {
		return model.Announcement{}, badAnnouncement("addr %q is not an IP address with a port; send for example 10.0.0.7:8080", in.Addr)
	}
	if checkPeer && !samePeer(peer, addr.Addr()) {
		return model.Announcement{}, badAnnouncement("addr %q is not the address the announcement came from; announce from the target's own address", in.Addr)
	}
	if in.Slots < 0 || in.Slots > model.MaxTargetSlots || in.Incarnation == 0 {
		return model.Announcement{}, badAnnouncement("slots must be between 0 and %d and incarnation greater than 0", model.MaxTargetSlots)
	}
	if math.IsNaN(in.Load) || in.Load < 0 {
		return model.Announcement{}, badAnnouncement("load must be 0 or greater")
	}
	if in.ColdMs < 0 {
		return model.Announcement{}, badAnnouncement("cold_ms must be 0 or greater")
	}
	return model.Announcement{
		Service:     model.ServiceName(in.Service),
		Target:      model.TargetID(in.Target),
		Addr:        addr.String(),
		Zone:        model.ZoneName(in.Zone),
		Slots:       in.Slots,
		Incarnation: model.Incarnation(in.Incarnation),
		State:       state,
		Load:        in.Load,

		ColdRemaining: model.ColdTime(in.ColdMs),
	}, nil
}

// parseTargetState returns the state with the JSON name s, or false if there is none.
func parseTargetState(s string) (model.TargetState, bool) {
	switch s {
	case "ready":
		return model.TargetReady, true
	case "draining":
		return model.TargetDraining, true
	case "leaving":
		return model.TargetLeaving, true
	default:
		return 0, false
	}
}

// IsTargetAddr reports whether a target can be reached at the address.
func IsTargetAddr(a netip.AddrPort) bool {
	return a.Port() != 0 && a.IsValid() && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}

// validName reports whether s can name a target or zone: printable ASCII without spaces.
func validName(s string) bool {
	return s != "" && len(s) <= maxNameLength && !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r >= 0x7f })
}

// samePeer reports whether the host of peer, a remote address with its port, is addr.
func samePeer(peer string, addr netip.Addr) bool {
	host, _, err := net.SplitHostPort(peer)
	if err != nil {
		return false
	}
	ip, err := netip.ParseAddr(host)
	return err == nil && ip.Unmap() == addr.Unmap()
}

func badAnnouncement(format string, args ...any) *ErrRefused {
	return refuse(http.StatusBadRequest, CodeBadAnnouncement, format, args...)
}
