package main

import (
	"fmt"
	"os"

	"github.com/rogpeppe/go-internal/testscript"
)

// useTLS adds a [tls] section to the settings of hosts and of the client: tls HOST...
// The files are those of authority create --dir authority and certificate issue --dir issued.
func useTLS(ts *testscript.TestScript, _ bool, hosts []string) {
	const authority = "[tls]\nauthority_file = authority/authority.crt\n"
	for _, h := range hosts {
		appendTo(ts, h+".ini", fmt.Sprintf("%scertificate_file = issued/%s.crt\nkey_file = issued/%s.key\n", authority, h, h))
	}
	appendTo(ts, "client.ini", authority)
}

func appendTo(ts *testscript.TestScript, name, text string) {
	f, err := os.OpenFile(ts.MkAbs(name), os.O_APPEND|os.O_WRONLY, 0o600)
	ts.Check(err)
	_, err = f.WriteString(text)
	ts.Check(err)
	ts.Check(f.Close())
}
