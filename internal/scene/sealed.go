package scene

func (Start) checks() bool             { return false }
func (Callers) checks() bool           { return false }
func (Kill) checks() bool              { return false }
func (Freeze) checks() bool            { return false }
func (Pause) checks() bool             { return false }
func (Cut) checks() bool               { return false }
func (Restart) checks() bool           { return false }
func (StoreDown) checks() bool         { return false }
func (StoreSlow) checks() bool         { return false }
func (StoreLoseAnswers) checks() bool  { return false }
func (StoreStallWatches) checks() bool { return false }
func (Drain) checks() bool             { return false }
func (Stop) checks() bool              { return false }
func (ConfigSet) checks() bool         { return false }
func (ConfigRace) checks() bool        { return false }
func (WaitServed) checks() bool        { return false }
func (Settle) checks() bool            { return false }
func (ExpectPromise) checks() bool     { return true }
func (ExpectNoRun) checks() bool       { return true }
func (ExpectInForce) checks() bool     { return true }
func (ExpectConfig) checks() bool      { return true }
func (ExpectNoCut) checks() bool       { return true }
func (ExpectRunning) checks() bool     { return true }
func (Fault) checks() bool             { return false }
