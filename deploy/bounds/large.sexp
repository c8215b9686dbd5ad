; Larger bounds, to be explored by hand.
(bounds command (members 3) (commands order own) (ticks 4) (faults 1) (for 10m) (memory-mb 8192))
(bounds command (members 2) (commands keyed look) (ticks 4) (faults 2) (for 10m) (memory-mb 8192))
(bounds rollout (agents 3) (tools 2) (ticks 3) (faults 1) (for 10m) (memory-mb 8192))
(bounds member (commands look look look) (ticks 1) (faults 1))
(bounds member (commands look look look) (ticks 3) (faults 3) (for 10m) (memory-mb 8192))
(bounds watch (ticks 4) (faults 3))
(bounds watch (ticks 6) (faults 5) (for 10m) (memory-mb 8192))
(bounds client (clients 2) (commands look empty) (ticks 2) (faults 2) (for 10m) (memory-mb 8192))
