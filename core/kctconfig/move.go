package kctconfig

import (
	"fmt"
	"slices"
	"time"

	kctport "kingcupturn"
)

// startMove adds a running move and removes the service's last finished one, so that the record stays small.
func startMove(config kctport.Config, r kctport.ChangeRequest, now time.Time) (kctport.Config, string, error) {
	m := r.Move
	if err := checkMove(m, now); err != nil {
		return config, "", err
	}
	if m.ID == "" {
		m.ID = r.ID
	}
	for _, o := range config.Moves {
		if o.ID == m.ID {
			return config, "", invalid("move", m.ID, "an identifier that no other move has")
		}
		if o.Service == m.Service && o.State == kctport.MoveRunning {
			return config, "", invalid("service", string(m.Service),
				fmt.Sprintf("a service without a running move; %s runs from %s to %s", o.ID, o.From, o.To))
		}
	}
	started := kctport.Move{
		ID: m.ID, Service: m.Service, From: m.From, To: m.To,
		Deadline: m.Deadline, Started: now, State: kctport.MoveRunning,
	}
	kept := slices.DeleteFunc(slices.Clone(config.Moves), func(o kctport.Move) bool { return o.Service == m.Service })
	config.Moves = append(kept, started)
	return config, fmt.Sprintf("move %s: %s from %s to %s by %s", m.ID, m.Service, m.From, m.To,
		m.Deadline.UTC().Format(time.RFC3339)), nil
}

func checkMove(m kctport.Move, now time.Time) error {
	if err := required("service", string(m.Service), "from", string(m.From), "to", string(m.To)); err != nil {
		return err
	}
	if m.From == m.To {
		return invalid("to", string(m.To), "a version other than from")
	}
	if !m.Deadline.After(now) {
		return invalid("deadline", m.Deadline.UTC().Format(time.RFC3339), "in the future")
	}
	return nil
}

// updateMove records a holder's progress; a lower epoch is a late write of a previous holder and is refused.
func updateMove(config kctport.Config, m kctport.Move) (kctport.Config, string, error) {
	at := slices.IndexFunc(config.Moves, func(o kctport.Move) bool { return o.ID == m.ID })
	if at < 0 {
		return config, "", invalid("move", m.ID, "the identifier of a move")
	}
	old := config.Moves[at]
	if err := checkProgress(old, m); err != nil {
		return config, "", err
	}
	old.Share, old.State, old.Evidence = m.Share, m.State, m.Evidence
	old.Holder, old.Epoch = m.Holder, m.Epoch
	config.Moves = slices.Clone(config.Moves)
	config.Moves[at] = old
	return config, fmt.Sprintf("move %s: %s at %.3g%% (%s)", m.ID, m.State, 100*m.Share, m.Evidence), nil
}

func checkProgress(old, m kctport.Move) error {
	if old.State != kctport.MoveRunning {
		return invalid("move", m.ID, fmt.Sprintf("a running move; it is %s", old.State))
	}
	if m.Epoch < old.Epoch {
		return invalid("epoch", fmt.Sprint(m.Epoch), fmt.Sprintf("at least %d, the epoch of holder %s", old.Epoch, old.Holder))
	}
	if m.Epoch == old.Epoch && old.Holder != "" && m.Holder != old.Holder {
		return invalid("holder", string(m.Holder), fmt.Sprintf("%s in epoch %d", old.Holder, old.Epoch))
	}
	switch m.State {
	case kctport.MoveRunning, kctport.MoveDone, kctport.MoveReverted:
	default:
		return invalid("state", string(m.State), "one of running, done, reverted")
	}
	if !(m.Share >= 0 && m.Share <= 1) {
		return invalid("share", fmt.Sprint(m.Share), "a number from 0 to 1")
	}
	if m.State == kctport.MoveDone && m.Share != 1 || m.State == kctport.MoveReverted && m.Share != 0 {
		return invalid("share", fmt.Sprint(m.Share), "1 for a done move and 0 for a reverted one")
	}
	return nil
}
