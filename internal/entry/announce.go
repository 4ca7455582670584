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
	maxNameLength    = 253
	maxSlots         = 10_000
	pathAnnouncement = "/v1/announce"
)

// announcement is the JSON form of model.Announcement.
type announcement struct {
	Service     string  `json:"service"`
	Target      string  `json:"target"`
	Addr        string  `json:"addr"`
	Zone        string  `json:"zone"`
	Slots       int     `json:"slots"`
	Incarnation uint64  `json:"incarnation"`
	State       string  `json:"state"`
	Load        float64 `json:"load"`
}

// AnnouncementHandler takes announcements from targets.
func (s *Server) AnnouncementHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathAnnouncement, s.announce)
	return mux
}

func (s *Server) announce(w http.ResponseWriter, r *http.Request) {
	a, err := s.readAnnouncement(w, r)
	if err != nil {
		err.write(w, "", "", 0, false)
		return
	}
	s.decider.Announce(a)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) readAnnouncement(w http.ResponseWriter, r *http.Request) (model.Announcement, *ErrRefused) {
	var in announcement
	body := http.MaxBytesReader(w, r.Body, s.limits.MaxAnnouncement)
	if err := json.NewDecoder(body).Decode(&in); err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return model.Announcement{}, refuse(http.StatusRequestEntityTooLarge, CodeBadAnnouncement, "the announcement exceeds %d bytes; send only the documented fields", large.Limit)
		}
		return model.Announcement{}, badAnnounce("the body is not the expected JSON; send the documented fields")
	}
	if !s.secretFits(model.ServiceName(in.Service), presentedKeys(r.Header, s.names.KeyScheme)) {
		return model.Announcement{}, refuse(http.StatusForbidden, CodeAnnouncementRefused, "the service does not exist or the secret is wrong; check the target's service name and its announcement secret")
	}
	return in.checked(r.RemoteAddr, s.peerChecks)
}

// secretFits compares in constant time, also for a service that does not exist.
func (s *Server) secretFits(name model.ServiceName, secrets []string) bool {
	service, ok := s.decider.Config().Services.Get(name)
	if len(secrets) != 1 {
		return false
	}
	hash := sha256.Sum256([]byte(secrets[0]))
	return subtle.ConstantTimeCompare(hash[:], service.AnnounceHash[:]) == 1 && ok
}

func (in announcement) checked(peer string, checkPeer bool) (model.Announcement, *ErrRefused) {
	state, ok := targetState(in.State)
	if !ok {
		return model.Announcement{}, badAnnounce("state %q is not known; send ready, draining or leaving", in.State)
	}
	if !validName(in.Target) || !validName(in.Zone) {
		return model.Announcement{}, badAnnounce("target and zone must be 1 to %d printable characters without spaces", maxNameLength)
	}
	addr, err := netip.ParseAddrPort(in.Addr)
	if err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() || addr.Addr().IsMulticast() {
		return model.Announcement{}, badAnnounce("addr %q is not an IP address with a port; send for example 10.0.0.7:8080", in.Addr)
	}
	if checkPeer && !samePeer(peer, addr.Addr()) {
		return model.Announcement{}, badAnnounce("addr %q is not the address the announcement came from; announce from the target's own address", in.Addr)
	}
	if in.Slots < 0 || in.Slots > maxSlots || in.Incarnation == 0 {
		return model.Announcement{}, badAnnounce("slots must be between 0 and %d and incarnation greater than 0", maxSlots)
	}
	if math.IsNaN(in.Load) || in.Load < 0 {
		return model.Announcement{}, badAnnounce("load must be 0 or greater")
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
	}, nil
}

func targetState(s string) (model.TargetState, bool) {
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

func validName(s string) bool {
	return s != "" && len(s) <= maxNameLength && !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r >= 0x7f })
}

func samePeer(peer string, addr netip.Addr) bool {
	host, _, err := net.SplitHostPort(peer)
	if err != nil {
		return false
	}
	ip, err := netip.ParseAddr(host)
	return err == nil && ip.Unmap() == addr.Unmap()
}

func badAnnounce(format string, args ...any) *ErrRefused {
	return refuse(http.StatusBadRequest, CodeBadAnnouncement, format, args...)
}
