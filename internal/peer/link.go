package peer

import "context"

// Claim asks the peer, as an elector, for its promise. It returns ErrUnreachable if no answer
// arrives before the context ends.
func (l *Link) Claim(ctx context.Context, request ClaimRequest) (ClaimAnswer, error) {
	answer := new(ClaimAnswer)
	if err := l.call(ctx, "Claim", request, answer); err != nil {
		return ClaimAnswer{}, err
	}
	return *answer, nil
}

// Beat sends a heartbeat. It returns ErrUnreachable if no answer
// arrives before the context ends.
func (l *Link) Beat(ctx context.Context, request BeatRequest) (BeatAnswer, error) {
	answer := new(BeatAnswer)
	if err := l.call(ctx, "Beat", request, answer); err != nil {
		return BeatAnswer{}, err
	}
	return *answer, nil
}

// Release tells the peer that the sender has given up its term. It returns ErrUnreachable if no answer
// arrives before the context ends.
func (l *Link) Release(ctx context.Context, request ReleaseRequest) (ReleaseAnswer, error) {
	answer := new(ReleaseAnswer)
	if err := l.call(ctx, "Release", request, answer); err != nil {
		return ReleaseAnswer{}, err
	}
	return *answer, nil
}

// State asks for the state of the peer. It returns ErrUnreachable if no answer
// arrives before the context ends.
func (l *Link) State(ctx context.Context, request StateRequest) (StateAnswer, error) {
	answer := new(StateAnswer)
	if err := l.call(ctx, "State", request, answer); err != nil {
		return StateAnswer{}, err
	}
	return *answer, nil
}

// Events asks for the control events of the peer. It returns ErrUnreachable if no answer
// arrives before the context ends.
func (l *Link) Events(ctx context.Context, request EventsRequest) (EventsAnswer, error) {
	answer := new(EventsAnswer)
	if err := l.call(ctx, "Events", request, answer); err != nil {
		return EventsAnswer{}, err
	}
	return *answer, nil
}

// Changed tells the leader that a team's configuration was written. It returns ErrUnreachable if no answer
// arrives before the context ends.
func (l *Link) Changed(ctx context.Context, request ChangedRequest) (ChangedAnswer, error) {
	answer := new(ChangedAnswer)
	if err := l.call(ctx, "Changed", request, answer); err != nil {
		return ChangedAnswer{}, err
	}
	return *answer, nil
}

// Token asks for, returns or reports tokens for long work. It returns ErrUnreachable if no answer
// arrives before the context ends.
func (l *Link) Token(ctx context.Context, request TokenRequest) (TokenAnswer, error) {
	answer := new(TokenAnswer)
	if err := l.call(ctx, "Token", request, answer); err != nil {
		return TokenAnswer{}, err
	}
	return *answer, nil
}

// Reserve reserves a booking identifier. It returns ErrUnreachable if no answer
// arrives before the context ends.
func (l *Link) Reserve(ctx context.Context, request ReserveRequest) (ReserveAnswer, error) {
	answer := new(ReserveAnswer)
	if err := l.call(ctx, "Reserve", request, answer); err != nil {
		return ReserveAnswer{}, err
	}
	return *answer, nil
}

// Finish records the outcome of a booking. It returns ErrUnreachable if no answer
// arrives before the context ends.
func (l *Link) Finish(ctx context.Context, request FinishRequest) (FinishAnswer, error) {
	answer := new(FinishAnswer)
	if err := l.call(ctx, "Finish", request, answer); err != nil {
		return FinishAnswer{}, err
	}
	return *answer, nil
}

// Export asks for a chunk of the entries of a bucket. It returns ErrUnreachable if no answer
// arrives before the context ends.
func (l *Link) Export(ctx context.Context, request ExportRequest) (ExportAnswer, error) {
	answer := new(ExportAnswer)
	if err := l.call(ctx, "Export", request, answer); err != nil {
		return ExportAnswer{}, err
	}
	return *answer, nil
}

// Drain asks the leader to drain a server. It returns ErrUnreachable if no answer
// arrives before the context ends.
func (l *Link) Drain(ctx context.Context, request DrainRequest) (DrainAnswer, error) {
	answer := new(DrainAnswer)
	if err := l.call(ctx, "Drain", request, answer); err != nil {
		return DrainAnswer{}, err
	}
	return *answer, nil
}
