; Two hundred routers that were told of 500 requests a second start before a service that does a tenth of that and refuses
; beyond its queue; later all of them are killed and come back without a disk. What they ask at first is 24 s of its time.
(name "tenth")
(seconds 56)
(registry "kv" (entries 120) (capacity (requests-per-second 50) (queue 50)))
(link "net" (to "kv"))
(routers "r" (count 200) (by "net")
  (settings (class "quote" (effect safe) (aim-ms 400) (deadline-ms 1500)) (route "calls/+" (class "quote") (function "{2}"))))
(event (at-s 27) (kill "r"))
(event (at-s 28) (start "r"))
(expect (listed-within-s 26))
