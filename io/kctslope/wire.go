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

// wire measures the size of control messages between two meshes.
func (m *measurement) wire(ctx context.Context) ([]Series, error) {
	t := table{part: "wire"}
	codec := kctpeer.WithConfigCodec(kctcodec.EncodeConfig, kctcodec.DecodeConfig)
	loopback := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
	to := targetMember(1)
	to.Peer = loopback
	server := kctpeer.New(to, m.timer, codec)
	if err := server.Listen(ctx); err != nil {
		return nil, err
	}
	to.Peer = server.Address()
	serving, stop := context.WithCancel(ctx)
	done := server.Serve(serving, sink{})
	client := kctpeer.New(targetMember(0), m.timer, codec)
	defer func() {
		client.Close()
		stop()
		<-done
	}()
	for _, message := range messages(client, to) {
		for _, n := range message.sizes {
			bytes, err := exchanged(ctx, client, func(ctx context.Context) error { return message.send(ctx, n) })
			if err != nil {
				return nil, err
			}
			t.add(message.x, float64(n), message.name+" (bytes)", bytes)
		}
	}
	return t.fitted(), nil
}

// message is a kind of control message whose size varies with a number.
type message struct {
	name  string
	x     string
	sizes []int
	send  func(ctx context.Context, n int) error
}

func messages(client *kctpeer.Mesh, to kctport.Member) []message {
	return []message{
		{"probe with its reply", "member changes", []int{0, 2, 4, 8}, func(ctx context.Context, n int) error {
			probe := kctport.Probe{From: targetMember(0), Revision: dayChanges}
			for i := range n {
				probe.Changes = append(probe.Changes, targetMember(i+1))
			}
			_, err := client.Probe(ctx, to, probe)
			return err
		}},
		{"share with its reply", "endpoint reports", []int{1, 4, 17, 68}, func(ctx context.Context, n int) error {
			reports := make([]kctport.EndpointReport, n)
			for i := range reports {
				// Counters start at the time in nanoseconds.
				reports[i] = kctport.EndpointReport{
					Endpoint: targetEndpoint(i), Owner: targetMember(0).ID, Counter: 1_800_000_000_000_000_000, Status: warm(0x9e3779b97f4a7c15),
				}
			}
			return client.Share(ctx, to, reports)
		}},
		{"push with its reply", "changes in the history", []int{1, 250, 500, 1000}, func(ctx context.Context, n int) error {
			_, err := client.Push(ctx, to, kctcontrol.TrimHistory(document(n, 0)))
			return err
		}},
	}
}

// exchanged returns the bytes that the client sends and receives for one message on a session that exists.
func exchanged(ctx context.Context, client *kctpeer.Mesh, send func(context.Context) error) (float64, error) {
	if err := send(ctx); err != nil {
		return 0, err
	}
	before := client.Counters()
	if err := send(ctx); err != nil {
		return 0, err
	}
	after := client.Counters()
	return float64(after.Sent + after.Received - before.Sent - before.Received), nil
}

// document returns a configuration with changes in its history and exceptions, with texts of usual length.
func document(changes, exceptions int) kctport.Config {
	config := kctconfig.Default()
	config.Revision = dayChanges
	for n := range exceptions {
		config.Exceptions = append(config.Exceptions, kctport.Exception{
			Name: fmt.Sprintf("exception-%04d", n), Service: targetEndpoint(n * replicas).Service, Field: "objective",
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
