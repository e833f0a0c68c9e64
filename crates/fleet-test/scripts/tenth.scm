; 200 routers, whose settings assume 500 requests per second, start on a registry that processes a tenth of
; that and refuses requests beyond its queue. Later all are killed and restarted without stored lists. Their
; initial requests take the registry 24 s.
(name "tenth")
(seconds 56)
(registry "kv" (entries 120) (capacity (requests-per-second 50) (queue 50)))
(link "net" (to "kv"))
(routers "r" (count 200) (by "net")
  (settings (class "quote" (effect safe) (aim-ms 400) (deadline-ms 1500)) (route "calls/+" (class "quote") (function "{2}"))))
(event (at-s 27) (kill "r"))
(event (at-s 28) (start "r"))
(expect (listed-within-s 26))
