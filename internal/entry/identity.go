package entry

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"
	"strconv"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// idSource generates request ids. Ids of different processes differ by 96 random
// bits, so that an id is not used again after a restart. It is safe for
// concurrent use.
type idSource struct {
	// prefix holds the host's name, if known, and the random bits.
	prefix string
	// next counts the ids that were generated.
	next atomic.Uint64
}

// newIDSource returns a source of ids that begin with host unless it is empty.
func newIDSource(host model.HostID) *idSource {
	var b [12]byte
	rand.Read(b[:]) // crypto/rand.Read never returns an error.
	prefix := hex.EncodeToString(b[:]) + "-"
	if host != "" {
		prefix = string(host) + "-" + prefix
	}
	return &idSource{prefix: prefix}
}

// id returns a new request id.
func (s *idSource) id() model.RequestID {
	return model.RequestID(s.prefix + strconv.FormatUint(s.next.Add(1), 36))
}

// requestIdentity holds the parts in which two requests must agree to count as
// the same, for quarantine and for the order key.
type requestIdentity struct {
	method string
	path   string
	query  string
	body   []byte
}

// hashInto writes first and the fields to w. Each is preceded by its length,
// except for the body at the end, so that no two different requests write the
// same bytes.
func (i requestIdentity) hashInto(w hash.Hash, first ...string) {
	for _, s := range append(first, i.method, i.path, i.query) {
		w.Write(binary.AppendUvarint(nil, uint64(len(s))))
		io.WriteString(w, s) //nolint:errcheck // hash.Hash never returns an error.
	}
	w.Write(i.body)
}

// fingerprint returns the value by which requests of a workspace are quarantined.
func (i requestIdentity) fingerprint(ws model.WorkspaceID) model.Fingerprint {
	h := xxhash.New()
	i.hashInto(h, string(ws))
	return model.Fingerprint(h.Sum64())
}

// bodyHash returns the hash that tells whether a resent order is the same request.
// Despite its name it covers method, path and query too.
func (i requestIdentity) bodyHash() model.BodyHash {
	h := sha256.New()
	i.hashInto(h)
	return model.BodyHash(h.Sum(nil))
}
