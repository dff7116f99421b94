package operator

import (
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/rosemarywall/rosemarywall/internal/core/configuration"
)

// keyBytes is the length of a key before encoding: 256 bits cannot be guessed,
// so that an unsalted SHA-256 protects it.
const keyBytes = 32

// newKey prints the key to the error output and the section to the standard
// output, so that redirecting the section into a note does not store the key.
func (s *session) newKey(name string) int {
	secret := make([]byte, keyBytes)
	_, _ = rand.Read(secret) // never fails
	key := base64.RawURLEncoding.EncodeToString(secret)
	section := fmt.Sprintf("[add key %s]\nhash = sha256:%x\n", name, configuration.HashKey(key))
	if _, problems := configuration.ParseNote(name, []byte("[note]\ntitle = key\n"+section)); len(problems) > 0 {
		return s.fail(exitUsage, errors.Newf("%s: expected ORGANISATION/NAME: %s", name, problems[0].Text))
	}
	fmt.Fprintf(s.errors, "key, shown only now: %s\n", key)
	fmt.Fprint(s.out, section)
	return exitDone
}

// dump prints the state of each VM as one JSON object by address.
func (s *session) dump(addresses []string) int {
	states := map[string]any{}
	status := exitDone
	for _, address := range addresses {
		c, err := newClient([]string{address})
		var state map[string]any
		if err == nil {
			err = c.get("/debug/state", &state)
		}
		if err != nil {
			status = s.fail(exitFailed, err)
			continue
		}
		states[address] = state
	}
	encoder := json.NewEncoder(s.out)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(states)
	return status
}
