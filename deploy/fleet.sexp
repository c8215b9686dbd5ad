; A fleet of three halls. Check it with: stoatctl fleet check deploy/fleet.sexp
; Every entry is (key value ...); times bear their unit: 250ms, 5s, 2m.
(name haulage)

; Instances of the whole that must serve at any moment. What is not known counts as not serving.
(floor 4)

(times
  (soak 5s)       ; that a changed instance must serve well before the next is touched
  (fresh 3s)      ; after which what was seen of an instance is no longer known
  (contact 30s)   ; that an unknown instance or a missing majority is waited for before a rollout pauses
  (step 2m)       ; that one step may take; above the drain (ten client timeouts, 500ms, grace) and ready
  (claim 15s)     ; that a claim runs without a sign of its holder
  (look 500ms)    ; between two looks at an agent
  (ready 10s)     ; that a started router may take until it answers an empty query
  (grace 2s))     ; beyond the longest wait of a command, before a router that drains is killed

; Halls, each with the instances that must serve there.
(hall gebze (floor 1))
(hall izmit (floor 1))
(hall bursa (floor 1))

; Agents, one a machine: where they listen, their hall, the folder for their store and their routers' files,
; and the router's program.
(agent gebze-1 (listen 127.11.0.1:7400) (hall gebze) (folder /var/lib/stoatdale) (program bin/stoatdale))
(agent izmit-1 (listen 127.12.0.1:7400) (hall izmit) (folder /var/lib/stoatdale) (program bin/stoatdale))
(agent bursa-1 (listen 127.13.0.1:7400) (hall bursa) (folder /var/lib/stoatdale) (program bin/stoatdale))

; Instances: the agent that runs each, and where its clients connect. discovery and me take the place of the
; revision's discovery and settings.me.
(instance g1 (agent gebze-1) (listen 127.11.0.1:5432) (me 0))
(instance g2 (agent gebze-1) (listen 127.11.0.2:5432) (me 1))
(instance i1 (agent izmit-1) (listen 127.12.0.1:5432) (me 2))
(instance i2 (agent izmit-1) (listen 127.12.0.2:5432) (me 3))
(instance b1 (agent bursa-1) (listen 127.13.0.1:5432) (me 4))
(instance b2 (agent bursa-1) (listen 127.13.0.2:5432) (me 5) (discovery 127.13.1.1:8500))
