; Bounds that CI explores: complete within seconds.
(bounds command (members 2) (commands order) (ticks 4) (faults 1) (depth 40))
(bounds command (members 2) (commands keyed) (ticks 3) (faults 1) (depth 40))
(bounds command (members 2) (commands look) (ticks 4) (faults 1) (depth 40))
(bounds command (members 2) (commands order own) (ticks 2) (faults 1) (depth 40))
(bounds rollout (agents 2) (tools 1) (ticks 2) (faults 1))
(bounds rollout (agents 1) (tools 2) (ticks 2) (faults 1))
(bounds rollout (agents 2) (tools 2) (ticks 1) (faults 0))
