package invariant

// Promises, in words: what comes once nobody is against it any more. They hold from every state.
const (
	Terminates  = "left alone, what was begun comes to its end and leaves nothing behind"
	ServesAgain = "left alone, commands are served again"
)
