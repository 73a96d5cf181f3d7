package kctslope

import (
	"context"
	"fmt"
	"net/netip"

	kctport "kingcupturn"
	"kingcupturn/core/kctconfig"
	"kingcupturn/core/kctcontrol"
	"kingcupturn/io/kctcodec"
	"kingcupturn/io/kctpeer"
)

// measureMessages measures the bytes of control messages between two meshes over loopback.
func (m *measurement) measureMessages(ctx context.Context) ([]Series, error) {
	t := table{part: "wire"}
	codec := kctpeer.WithConfigCodec(kctcodec.EncodeConfig, kctcodec.DecodeConfig)
	loopback := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
	to := targetMember(1)
	to.Peer = loopback
	receiver := kctpeer.New(to, m.timer, codec)
	if err := receiver.Listen(ctx); err != nil {
		return nil, err
	}
	to.Peer = receiver.Address()
	serving, stop := context.WithCancel(ctx)
	done := receiver.Serve(serving, echoHandler{})
	sender := kctpeer.New(targetMember(0), m.timer, codec)
	defer func() {
		sender.Close()
		stop()
		<-done
	}()
	for _, message := range messages(sender, to) {
		for _, n := range message.sizes {
			bytes, err := exchangedBytes(ctx, sender, func(ctx context.Context) error { return message.send(ctx, n) })
			if err != nil {
				return nil, err
			}
			t.add(message.x, float64(n), message.name+" (bytes)", bytes)
		}
	}
	return t.fitted(), nil
}

// messageKind is a kind of control message whose size depends on the number n, which x names.
type messageKind struct {
	name  string
	x     string
	sizes []int
	send  func(ctx context.Context, n int) error
}

func messages(sender *kctpeer.Mesh, to kctport.Member) []messageKind {
	return []messageKind{
		{"probe with its reply", "member changes", []int{0, 2, 4, 8}, func(ctx context.Context, n int) error {
			probe := kctport.Probe{From: targetMember(0), Revision: changesPerDay}
			for i := range n {
				probe.Changes = append(probe.Changes, targetMember(i+1))
			}
			_, err := sender.Probe(ctx, to, probe)
			return err
		}},
		{"share with its reply", "endpoint reports", []int{1, 4, 17, 68}, func(ctx context.Context, n int) error {
			reports := make([]kctport.EndpointReport, n)
			for i := range reports {
				// Counters start at the Unix time in nanoseconds.
				reports[i] = kctport.EndpointReport{
					Endpoint: targetEndpoint(i), Owner: targetMember(0).ID, Counter: 1_800_000_000_000_000_000, Status: warmStatus(0x9e3779b97f4a7c15),
				}
			}
			return sender.Share(ctx, to, reports)
		}},
		{"push with its reply", "changes in the history", []int{1, 250, 500, 1000}, func(ctx context.Context, n int) error {
			_, err := sender.Push(ctx, to, kctcontrol.TrimHistory(configDocument(n, 0)))
			return err
		}},
	}
}

// exchangedBytes returns the bytes that the sender sends and receives for one message on an established session.
func exchangedBytes(ctx context.Context, sender *kctpeer.Mesh, send func(context.Context) error) (float64, error) {
	if err := send(ctx); err != nil {
		return 0, err
	}
	before := sender.Counters()
	if err := send(ctx); err != nil {
		return 0, err
	}
	after := sender.Counters()
	return float64(after.Sent + after.Received - before.Sent - before.Received), nil
}

// configDocument returns a configuration with changes in its history and exceptions, with texts of typical length.
func configDocument(changes, exceptions int) kctport.Config {
	config := kctconfig.Default()
	config.Revision = changesPerDay
	for n := range exceptions {
		config.Exceptions = append(config.Exceptions, kctport.Exception{
			Name: fmt.Sprintf("exception-%04d", n), Service: targetEndpoint(n * endpointsPerService).Service, Field: "objective",
			Value: "180ms", Reason: "slower disks until the replacement in spring",
		})
	}
	for n := range changes {
		config.History = append(config.History, kctport.Change{
			ID: fmt.Sprintf("change-%016x", n), Revision: kctport.Revision(n + 1), Author: "operator@example", At: newClock().Now(),
			Kind: kctport.SetDefault, Summary: "default objective is 190ms",
		})
	}
	return config
}
