package kctload

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kctcodec"

	"github.com/rotisserie/eris"
)

// operatorTimeout is the timeout of one call to the operator interface.
const operatorTimeout = 10 * time.Second

// Change sends a change request to one entry; a change that is not accepted gives an error that wraps kctport.ErrFailed.
func (c *Cluster) Change(ctx context.Context, r kctport.ChangeRequest) error {
	r.Author = "load"
	r.ID = fmt.Sprintf("load-%d-%s-%d", c.seed, r.Kind, c.timer.Now().UnixNano())
	raw, err := kctcodec.EncodeChange(r)
	if err != nil {
		return err
	}
	reply, err := callOperator(ctx, c.Addresses()[0], http.MethodPost, "/v1/changes", raw)
	if err != nil {
		return err
	}
	result, err := kctcodec.DecodeResult(reply)
	if err != nil {
		return err
	}
	if result.Outcome != kctport.Accepted {
		return eris.Wrapf(kctport.ErrFailed, "change %s: %s, %s", r.Kind, result.Outcome, result.Message)
	}
	return nil
}

// Move returns the newest move in the configuration of one entry, or the zero Move if there is none.
func (c *Cluster) Move(ctx context.Context) (kctport.Move, error) {
	raw, err := callOperator(ctx, c.Addresses()[0], http.MethodGet, "/v1/config", nil)
	if err != nil {
		return kctport.Move{}, err
	}
	config, err := kctcodec.DecodeConfig(raw)
	if err != nil || len(config.Moves) == 0 {
		return kctport.Move{}, err
	}
	return config.Moves[len(config.Moves)-1], nil
}

func callOperator(ctx context.Context, at netip.AddrPort, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+at.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "create request")
	}
	request.Header.Set("Content-Type", "application/json")
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, eris.Wrapf(kctport.ErrUnavailable, "%v", err)
	}
	defer func() { _ = reply.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(reply.Body, answerLimit))
	return raw, eris.Wrap(err, "read reply")
}
