; 200 routers start at the same time, without stored lists, on one registry without a load limit. A drain is
; published while they start.
(name "herd")
(seconds 40)
(registry "kv" (entries 120))
(link "net" (to "kv"))
(routers "r" (count 200) (by "net")
  (settings (class "quote" (effect safe) (aim-ms 400) (deadline-ms 1500)) (route "calls/+" (class "quote") (function "{2}"))))
(event (at-s 1) (drain "w-7"))
(event (at-s 10) (drain "w-8"))
(expect (listed-within-s 8) (drains-within-ms 250) (steady-requests-per-second "net" (from-s 20) (most 30)))
