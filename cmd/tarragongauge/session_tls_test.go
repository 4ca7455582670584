package main

import (
	"fmt"
	"os"

	"github.com/rogpeppe/go-internal/testscript"
)

// useTLS adds a [tls] section with a mode to the settings of hosts, and one
// without to those of the client: tls MODE NAME... The files are those of
// authority create --dir authority and certificate issue --dir issued.
func useTLS(ts *testscript.TestScript, _ bool, args []string) {
	const authority = "[tls]\nauthority_file = authority/authority.crt\n"
	for _, name := range args[1:] {
		text := authority
		if name != "client" {
			text += fmt.Sprintf("mode = %s\ncertificate_file = issued/%s.crt\nkey_file = issued/%s.key\n", args[0], name, name)
		}
		appendTo(ts, name+".ini", text)
	}
}

func appendTo(ts *testscript.TestScript, name, text string) {
	f, err := os.OpenFile(ts.MkAbs(name), os.O_APPEND|os.O_WRONLY, 0o600)
	ts.Check(err)
	_, err = f.WriteString(text)
	ts.Check(err)
	ts.Check(f.Close())
}
