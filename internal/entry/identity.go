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

// idSource makes request ids. Ids of different processes differ by 96 random
// bits, so that an id is never used again after a restart.
type idSource struct {
	prefix string
	next   atomic.Uint64
}

func newIDSource(host model.HostID) *idSource {
	var b [12]byte
	rand.Read(b[:]) // never returns an error
	prefix := hex.EncodeToString(b[:]) + "-"
	if host != "" {
		prefix = string(host) + "-" + prefix
	}
	return &idSource{prefix: prefix}
}

func (s *idSource) id() model.RequestID {
	return model.RequestID(s.prefix + strconv.FormatUint(s.next.Add(1), 36))
}

// identity lists the parts of a request that make two requests alike.
type identity struct {
	method string
	path   string
	query  string
	body   []byte
}

// feed writes the fields, each preceded by its length so that no two different
// requests write the same bytes.
func (i identity) feed(w hash.Hash, first ...string) {
	for _, s := range append(first, i.method, i.path, i.query) {
		w.Write(binary.AppendUvarint(nil, uint64(len(s))))
		io.WriteString(w, s) //nolint:errcheck // hash.Hash never returns an error.
	}
	w.Write(i.body)
}

func (i identity) fingerprint(ws model.WorkspaceID) model.Fingerprint {
	h := xxhash.New()
	i.feed(h, string(ws))
	return model.Fingerprint(h.Sum64())
}

func (i identity) bodyHash() model.BodyHash {
	h := sha256.New()
	i.feed(h)
	return model.BodyHash(h.Sum(nil))
}
