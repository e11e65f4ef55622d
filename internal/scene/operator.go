package scene

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/samphiredrum/samphiredrum/internal/admin"
)

// verdict is the result of a configuration change.
type verdict string

const (
	accepted verdict = "accepted"
	// lost is a change that was rejected because another change was written first.
	lost verdict = "lost"
	// refused is a change that was not written.
	refused verdict = "refused"
	// uncertain is a change that may have been written.
	uncertain verdict = "uncertain"
)

// operator changes the configuration of one team through the admin address of an entry process.
type operator struct {
	client     *admin.Client
	team       string
	key, value string

	// base and text are the version and the text that the operator read.
	base uint64
	text string

	verdict verdict
	detail  string
	// version is the version that the operator's change created.
	version uint64
	// at is the time at which the change was accepted.
	at time.Time
}

func newOperator(address netip.AddrPort, team, key, value string) *operator {
	return &operator{client: admin.NewClient(address), team: team, key: key, value: value}
}

// read reads the configuration that the operator changes.
func (o *operator) read() {
	text, version, err := o.client.Config(o.team)
	if err != nil {
		o.end(refused, err.Error())
		return
	}
	o.text, o.base = string(text), version
}

// run writes the change and waits for its verdict. It does nothing if read failed.
func (o *operator) run() {
	if o.verdict != "" {
		return
	}
	version, err := o.client.SetConfig(o.team, []byte(o.edit()), o.base)
	switch {
	case err == nil:
		o.version, o.at = version, time.Now()
		o.end(accepted, fmt.Sprintf("version=%d", version))
	case errorx.IsOfType(err, admin.ErrConflict):
		o.end(lost, err.Error())
	case errorx.IsOfType(err, admin.ErrRefused):
		o.end(refused, err.Error())
	default:
		o.end(uncertain, err.Error())
	}
}

// edit returns the text with the change. The last part of the key is the name of the setting; the parts before it
// extend the name of the team's section.
func (o *operator) edit() string {
	section, key := "team."+o.team, o.key
	if i := strings.LastIndex(o.key, "."); i >= 0 {
		section, key = section+"."+o.key[:i], o.key[i+1:]
	}
	return setKey(o.text, section, key, o.value)
}

func (o *operator) end(v verdict, detail string) {
	o.verdict, o.detail = v, detail
}
