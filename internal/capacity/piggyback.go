package capacity

import (
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// versionsPayload is the payload of the share controller: four table versions.
func versionsPayload() []byte {
	versions := map[ident.AvailabilityZone]uint64{}
	for z := range 4 {
		versions[zoneName(z)] = 1<<24 + uint64(z)
	}
	raw, err := cbor.Marshal(versions)
	if err != nil {
		return nil
	}
	return raw
}

// reportPiggyback compares one detector that carries the payloads of further
// functions with a detector for each function.
func reportPiggyback(out io.Writer) error {
	payload := versionsPayload()
	bare, err := runDetectors(3, 77, 0, nil)
	if err != nil {
		return err
	}
	for _, functions := range []int{1, 2, 4} {
		shared, err := runDetectors(3, 77, 0, make([]byte, functions*len(payload)))
		if err != nil {
			return err
		}
		alone, err := runDetectors(3, 77, 0, payload)
		if err != nil {
			return err
		}
		n := float64(functions)
		messages, bytes := bare.Messages+n*alone.Messages, bare.Bytes+n*alone.Bytes
		fmt.Fprintf(out, "%d functions of %d bytes beside membership: shared %.2f messages and %.0f bytes per VM and second, separate %.2f and %.0f; shared/separate %.2f and %.2f\n",
			functions, len(payload), shared.Messages, shared.Bytes, messages, bytes, shared.Messages/messages, shared.Bytes/bytes)
	}
	return nil
}
