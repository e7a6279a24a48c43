package relayer

import (
	"github.com/cespare/xxhash/v2"

	"hornbeamstream.example/core/quarantiner"
)

// digest identifies what the caller asks for: repeats of a request have the same digest
// although their IDs differ.
func (c *call) digest() quarantiner.Digest {
	if c.digestSum != 0 {
		return c.digestSum
	}
	in := &c.ctx.Request.Header
	caller := c.caller
	if c.workspace != nil {
		// Its keys change.
		caller = []byte(c.workspace.Name)
	}
	d := xxhash.New()
	for _, part := range [...][]byte{in.Method(), in.Host(), in.RequestURI(), caller, c.affinityKey} {
		// Write and WriteString of a Digest return no errors.
		_, _ = d.Write(part)
		_, _ = d.WriteString("\x00")
	}
	for _, s := range c.body.segments {
		_, _ = d.Write(s)
	}
	_, _ = d.WriteString("\x00")
	c.digestSum = quarantiner.Digest(d.Sum64() | 1)
	return c.digestSum
}
