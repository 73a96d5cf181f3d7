package kctidempotency

import (
	"errors"
	"hash/maphash"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
)

// token is a decoded idempotency key.
type token struct {
	instance    kctport.InstanceID
	incarnation kctport.Incarnation
	// number is unique within the incarnation.
	number uint64
	// issuedAfter is the time of issue, counted from the start of the table.
	issuedAfter time.Duration
	// tag is a keyed hash of number and issuedAfter, so that callers cannot use keys that this incarnation did not issue.
	tag uint64
}

// keyFields is the number of fields of an encoded key: instance, incarnation, number, time of issue ("age" in error texts) and tag ("seal").
const keyFields = 5

// String encodes the key for callers; the instance comes first since its name may contain the separator.
func (k token) String() string {
	b := append([]byte(k.instance), '.')
	for _, v := range []uint64{uint64(k.incarnation), k.number, uint64(k.issuedAfter)} {
		b = append(strconv.AppendUint(b, v, 36), '.')
	}
	return string(strconv.AppendUint(b, k.tag, 36))
}

// withTag returns the token with its tag, computed with the seed of a table.
func (k token) withTag(seed maphash.Seed) token {
	k.tag = maphash.Comparable(seed, [2]uint64{k.number, uint64(k.issuedAfter)})
	return k
}

// parse decodes a key without checking its tag.
func parse(key string) (token, error) {
	var values [keyFields - 1]uint64
	rest := key
	for i := len(values) - 1; i >= 0; i-- {
		dot := strings.LastIndexByte(rest, '.')
		if dot < 0 {
			return token{}, invalid("key has too few fields, want instance.incarnation.number.age.seal")
		}
		v, err := strconv.ParseUint(rest[dot+1:], 36, 64)
		if err != nil {
			return token{}, invalid("key field is not a base 36 number")
		}
		values[i], rest = v, rest[:dot]
	}
	if rest == "" {
		return token{}, invalid("key names no instance")
	}
	return token{
		instance: kctport.InstanceID(rest), incarnation: kctport.Incarnation(values[0]),
		number: values[1], issuedAfter: time.Duration(values[2]), tag: values[3],
	}, nil
}

// invalid returns an error for a request that cannot have run; it wraps ErrInvalid and ErrNotRun.
func invalid(text string) error {
	return eris.Wrap(errors.Join(kctport.ErrInvalid, kctport.ErrNotRun), text)
}

// unknown returns an error that wraps ErrUnknown, for a request whose outcome this table does not have.
func unknown(text string) error {
	return eris.Wrap(kctport.ErrUnknown, text)
}
