; The registry is restored from a backup while 200 routers start, and its history is compacted during their
; watches.
(name "restored")
(seconds 25)
(registry "kv" (entries 120))
(link "net" (to "kv"))
(routers "r" (count 200) (by "net")
  (settings (class "quote" (effect safe) (aim-ms 400) (deadline-ms 1500)) (route "calls/+" (class "quote") (function "{2}"))))
(fault (at-s 0.3) (for-s 1) (registry "kv") (kind restore))
(fault (at-s 0.6) (for-s 1) (registry "kv") (kind compact))
(event (at-s 4) (drain "w-3"))
(event (at-s 20) (drain "w-4"))
(expect (listed-within-s 4) (drains-within-ms 250))
