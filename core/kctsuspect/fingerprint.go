package kctsuspect

import (
	"github.com/cespare/xxhash/v2"

	kctport "kingcupturn"
)

// RequestHash is the hash of a request by what it is: its method, host, target and body.
type RequestHash uint64

// HashRequest returns the hash of a message. Its identifier, deadline and other headers differ each time that the same request comes.
func HashRequest(m *kctport.Message) RequestHash {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{m.Method, m.Host, m.Target} {
		// A Digest's writes never fail.
		_, _ = d.WriteString(s)
		_, _ = d.WriteString("\x00")
	}
	_, _ = d.Write(m.Body)
	return RequestHash(d.Sum64())
}

// At returns the fingerprint of the request at a service: a gathered request may crash the endpoints of one shard only.
func (h RequestHash) At(service kctport.ServiceName) kctport.Fingerprint {
	return kctport.Fingerprint(uint64(h) ^ xxhash.Sum64String(string(service)))
}
