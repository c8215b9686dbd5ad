; Heavy log records stall a replica, which applies its log in one thread. Replicas fall behind, and reads that need data
; which a replica has not applied yet go to another backend or wait.
(name heavy)
(seconds 30s)
(seeds 1 2 3 4 5 6)
(policies ceiling module window any)
(fleet (routers 10) (sets 2) (replicas 3) (slots 4) (queue 40) (sessions 1000)
       (way 0.5ms) (dial 100ms) (ship 20ms) (apply 0.5ms) (heavy 0.01) (heavy-apply 1s) (list 1s)
       (cold-share 0.2) (warm-in 8s) (overload 2) (fall-span 1s))
(group order (need write) (effect mutating) (rate 100) (work 5ms) (spread 0.5) (target 300ms) (timeout 1500ms) (benefit 3))
(group own (need session) (effect replayable) (rate 900) (work 8ms) (spread 0.5) (target 250ms) (timeout 1s) (benefit 1) (late 0.3))
(group board (need bound) (effect replayable) (rate 500) (work 8ms) (spread 0.5) (target 400ms) (timeout 1s) (benefit 1) (late 0.5) (bound 500ms))
