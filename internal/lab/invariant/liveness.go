package invariant

// Liveness properties: what follows from every state once no more faults are injected. Stored traces hold these texts.
const (
	Terminates  = "left alone, what was begun comes to its end and leaves nothing behind"
	ServesAgain = "left alone, commands are served again"
)
