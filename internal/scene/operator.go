package scene

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/conf"
	"github.com/samphiredrum/samphiredrum/internal/peer"
	"github.com/samphiredrum/samphiredrum/internal/store"
)

// announceTime bounds the wait until a majority of the electors has a configuration in force.
const announceTime = 10 * time.Second

// verdict is how a change of a configuration ended.
type verdict string

const (
	accepted verdict = "accepted"
	// lost is a change that another one came before.
	lost verdict = "lost"
	// refused is a change that was not written.
	refused verdict = "refused"
	// uncertain is a change that may have been written.
	uncertain verdict = "uncertain"
)

// operator changes the configuration of one team. Its change goes through the object API with a
// conditional update; the decider tells when a majority of the electors has it in force.
type operator struct {
	ctx        context.Context
	deployment *deployment
	team       string
	key, value string
	// base is the version of the object that the operator read.
	base store.Object

	verdict verdict
	detail  string
	// version is that of the operator's own change, or of the one that it lost against.
	version uint64
	// at is when the change was accepted.
	at time.Time
}

// read reads the object that the operator changes.
func (o *operator) read() error {
	ctx, cancel := context.WithTimeout(o.ctx, lookTime)
	defer cancel()
	base, err := o.deployment.store.Get(ctx, "config/"+o.team)
	o.base = base
	return err
}

// run writes the change and waits for its verdict.
func (o *operator) run() {
	token := fmt.Sprintf("# writer=%016x", rand.Uint64())
	text := token + "\n" + o.edit()
	if team, faults := conf.ParseTeam(o.team, "config/"+o.team, text); len(faults) > 0 || team.Name == "" {
		o.end(refused, fmt.Sprint("the settings have faults: ", faults))
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, time.Second)
	defer cancel()
	version, err := o.deployment.store.Put(ctx, "config/"+o.team, []byte(text), o.base.Version)
	o.version = version
	switch store.KindOf(err) {
	case store.NoError:
		o.announce(text)
	case store.Conflict:
		o.version = store.CurrentVersion(err)
		o.end(lost, fmt.Sprintf("version %d came before", o.version))
	case store.Unknown:
		o.readBack(token, text)
	default:
		o.end(refused, err.Error())
	}
}

// edit returns the text with the change. The last part of the key is the name of the setting, the
// parts before it continue the name of the team's section.
func (o *operator) edit() string {
	section, key := "team."+o.team, o.key
	if i := strings.LastIndex(o.key, "."); i >= 0 {
		section, key = section+"."+o.key[:i], o.key[i+1:]
	}
	return setKey(string(o.base.Value), section, key, o.value)
}

// readBack finds out whether a write without an answer took effect.
func (o *operator) readBack(token, text string) {
	o.end(uncertain, "the store does not answer")
	for range 20 {
		ctx, cancel := context.WithTimeout(o.ctx, lookTime)
		now, err := o.deployment.store.Get(ctx, "config/"+o.team)
		cancel()
		switch {
		case err == nil && strings.Contains(string(now.Value), token):
			o.version = now.Version
			o.announce(text)
			return
		case err == nil && now.Version != o.base.Version:
			o.version = now.Version
			o.end(lost, fmt.Sprintf("version %d came before", now.Version))
			return
		}
		if sleep(o.ctx, lookTime) != nil {
			return
		}
	}
}

// announce asks the decider until it reports that a majority of the electors has the change in
// force.
func (o *operator) announce(text string) {
	o.end(uncertain, "no decider reports the change in force")
	request := peer.ChangedRequest{Team: peer.Team{Name: o.team, Version: o.version, Text: []byte(text)}}
	deadline := time.Now().Add(announceTime)
	for time.Now().Before(deadline) && o.ctx.Err() == nil {
		if decider := o.deployment.decider(o.ctx); decider != nil {
			ctx, cancel := context.WithTimeout(o.ctx, time.Second)
			answer, err := decider.link.Changed(ctx, request)
			cancel()
			if err == nil && 2*answer.InForce > answer.Electors {
				o.at = time.Now()
				o.end(accepted, fmt.Sprintf("version=%d electors=%d/%d", o.version, answer.InForce, answer.Electors))
				return
			}
		}
		_ = sleep(o.ctx, lookInterval)
	}
}

func (o *operator) end(v verdict, detail string) {
	o.verdict, o.detail = v, detail
}
