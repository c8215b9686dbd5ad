; A fleet in three halls (zones). To check this file: stoatctl fleet check deploy/fleet.sexp
; Every entry has the form (key value ...). Times are written with their unit: 250ms, 5s, 2m.
(name haulage)

; Minimum number of instances of the fleet that serve at any time. An instance whose state is unknown counts as not serving.
(floor 4)

(times
  (soak 5s)       ; time for which a changed instance must serve well before the next is changed
  (fresh 3s)      ; age above which an observation of an instance is ignored
  (contact 30s)   ; time for which a rollout waits for an unknown instance or a majority of agents before it pauses
  (step 2m)       ; time that one step may take; must exceed the drain (ten client timeouts, 500ms, grace) plus ready
  (claim 15s)     ; time after which a lease (claim) expires unless its holder renews it
  (look 500ms)    ; time between two status requests to an agent
  (ready 10s)     ; time that a router may take from its start until it answers an empty query
  (grace 2s))     ; beyond the longest wait of a command, before a router that drains is killed

; Halls, each with the minimum number of its instances that serve.
(hall gebze (floor 1))
(hall izmit (floor 1))
(hall bursa (floor 1))

; Agents, one per machine: the address on which each listens, its hall, the folder of its store and its routers' files,
; and the path of the router's executable.
(agent gebze-1 (listen 127.11.0.1:7400) (hall gebze) (folder /var/lib/stoatdale) (program bin/stoatdale))
(agent izmit-1 (listen 127.12.0.1:7400) (hall izmit) (folder /var/lib/stoatdale) (program bin/stoatdale))
(agent bursa-1 (listen 127.13.0.1:7400) (hall bursa) (folder /var/lib/stoatdale) (program bin/stoatdale))

; Instances: the agent that runs each, and the address to which its clients connect. If set, discovery and me replace
; the values of discovery and settings.me in the revision.
(instance g1 (agent gebze-1) (listen 127.11.0.1:5432) (me 0))
(instance g2 (agent gebze-1) (listen 127.11.0.2:5432) (me 1))
(instance i1 (agent izmit-1) (listen 127.12.0.1:5432) (me 2))
(instance i2 (agent izmit-1) (listen 127.12.0.2:5432) (me 3))
(instance b1 (agent bursa-1) (listen 127.13.0.1:5432) (me 4))
(instance b2 (agent bursa-1) (listen 127.13.0.2:5432) (me 5) (discovery 127.13.1.1:8500))
