; 300 routers on a registry that processes 100 requests per second and drops requests beyond a queue of 100.
(name "overrun")
(seconds 25)
(registry "kv" (entries 120) (capacity (requests-per-second 100) (queue 100) (silent yes)))
(link "net" (to "kv"))
(routers "r" (count 300) (by "net")
  (members (service-per-second 100))
  (settings (class "quote" (effect safe) (aim-ms 400) (deadline-ms 1500)) (route "calls/+" (class "quote") (function "{2}"))))
(expect (listed-within-s 8) (requests-in-200ms "net" (most 40)))
