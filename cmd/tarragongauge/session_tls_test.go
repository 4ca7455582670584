package main

import (
	"fmt"
	"os"

	"github.com/rogpeppe/go-internal/testscript"
)

// useTLS implements "tls MODE NAME...". It adds a section [tls] with a mode to the
// settings of hosts, or one without a mode to those of the client. The certificate
// files must exist, made with authority create --dir authority and certificate
// issue --dir issued.
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

// appendTo appends text to an existing file of a script.
func appendTo(ts *testscript.TestScript, name, text string) {
	f, err := os.OpenFile(ts.MkAbs(name), os.O_APPEND|os.O_WRONLY, 0o600)
	ts.Check(err)
	_, err = f.WriteString(text)
	ts.Check(err)
	ts.Check(f.Close())
}
