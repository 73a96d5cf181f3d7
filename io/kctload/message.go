package kctload

import (
	"encoding/json"
	"net/netip"
	"strconv"
	"strings"

	kctport "kingcupturn"
	"kingcupturn/io/kctwire"

	"github.com/rotisserie/eris"
)

type addressesMessage struct {
	Addresses []netip.AddrPort `json:"addresses"`
	TTL       kctwire.Duration `json:"ttl"`
}

type queryMessage struct {
	Services []kctport.ServiceName `json:"services"`
	Route    string                `json:"route"`
	Urgent   bool                  `json:"urgent"`
	Text     string                `json:"text"`
	Deadline kctwire.Duration      `json:"deadline"`
}

type executeMessage struct {
	Key      string              `json:"key"`
	Service  kctport.ServiceName `json:"service"`
	Route    string              `json:"route"`
	Text     string              `json:"text"`
	Deadline kctwire.Duration    `json:"deadline"`
}

type countMessage struct {
	Count int `json:"count"`
}

type keysMessage struct {
	Keys []string         `json:"keys"`
	TTL  kctwire.Duration `json:"ttl"`
}

// answerMessage is the answer to a query or to an execution.
type answerMessage struct {
	ID       string           `json:"id"`
	Key      string           `json:"key"`
	Snapshot kctport.Snapshot `json:"snapshot"`
	Items    []kctwire.Item   `json:"items"`
	Coverage struct {
		Answered int           `json:"answered"`
		Total    int           `json:"total"`
		Whole    bool          `json:"whole"`
		Missing  []partMessage `json:"missing"`
	} `json:"coverage"`
}

type errorMessage struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Ran     string `json:"ran"`
}

// partMessage is a part, encoded as "service/shard" or as an object.
type partMessage kctport.Part

// UnmarshalJSON decodes the text and the object form of a part.
func (p *partMessage) UnmarshalJSON(raw []byte) error {
	var text string
	if json.Unmarshal(raw, &text) != nil {
		var object struct {
			Service kctport.ServiceName `json:"service"`
			Shard   int                 `json:"shard"`
		}
		err := json.Unmarshal(raw, &object)
		*p = partMessage{Service: object.Service, Shard: object.Shard}
		return eris.Wrap(err, "decode part")
	}
	service, shard, ok := strings.Cut(text, "/")
	n, err := strconv.Atoi(shard)
	if !ok || err != nil {
		return eris.Wrapf(kctport.ErrInvalid, "part is %q; allowed is service/shard", text)
	}
	*p = partMessage{Service: kctport.ServiceName(service), Shard: n}
	return nil
}
