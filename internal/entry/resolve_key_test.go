package entry

import (
	"crypto/sha256"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// configWithKeys returns a configuration with a valid key "secret", and with keys of
// a withdrawn and of an unknown workspace.
func configWithKeys() model.Config {
	cfg := model.NewConfig(nil, nil)
	cfg.Workspaces = cfg.Workspaces.With(model.Workspace{ID: "w"}).With(model.Workspace{ID: "gone", Withdrawn: true})
	cfg.Keys = cfg.Keys.With(model.Key{ID: "k", Workspace: "w", Hash: sha256.Sum256([]byte("secret"))}).
		With(model.Key{ID: "o", Workspace: "gone", Hash: sha256.Sum256([]byte("old"))}).
		With(model.Key{ID: "l", Workspace: "lost", Hash: sha256.Sum256([]byte("orphan"))})
	return cfg
}

// TestResolveKey guards against a key that is accepted after the withdrawal of its
// workspace, against two different keys in one request, and against an error that
// contains a key.
func TestResolveKey(t *testing.T) {
	tests := []struct {
		name   string
		header http.Header
		want   model.WorkspaceID
		code   Code
	}{
		{"one key", http.Header{"X-Api-Key": {"secret"}}, "w", ""},
		{"the same key twice", http.Header{"X-Api-Key": {"secret"}, "Authorization": {"Bearer secret"}}, "w", ""},
		{"none", http.Header{}, "", CodeNoKey},
		{"empty", http.Header{"X-Api-Key": {""}}, "", CodeNoKey},
		{"empty bearer", http.Header{"Authorization": {"Bearer "}}, "", CodeNoKey},
		{"empty beside a key", http.Header{"X-Api-Key": {"secret", " "}}, "w", ""},
		{"two keys", http.Header{"X-Api-Key": {"secret", "old"}}, "", CodeKeyMismatch},
		{"two headers", http.Header{"X-Api-Key": {"secret"}, "Authorization": {"Bearer old"}}, "", CodeKeyMismatch},
		{"unknown", http.Header{"X-Api-Key": {"Secret"}}, "", CodeUnknownKey},
		{"withdrawn workspace", http.Header{"X-Api-Key": {"old"}}, "", CodeUnknownKey},
		{"unknown workspace", http.Header{"X-Api-Key": {"orphan"}}, "", CodeUnknownKey},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			key, err := resolveKey(configWithKeys(), presentedKeys(tt.header, "Bearer"))
			require.Equal(t, tt.want, key.Workspace)
			if tt.code == "" {
				require.Nil(t, err)
				return
			}
			require.Equal(t, tt.code, err.Code)
			require.Equal(t, http.StatusUnauthorized, err.Status)
			require.NotContains(t, err.Error(), "ecret")
		})
	}
}

// BenchmarkResolveKey measures the resolution of one key, including its digest.
func BenchmarkResolveKey(b *testing.B) {
	cfg, keys := configWithKeys(), []string{"secret"}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := resolveKey(cfg, keys); err != nil {
			b.Fatal(err)
		}
	}
}
