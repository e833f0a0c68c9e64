; Two workers accept calls and never answer; then one of them answers with
; bytes that are not HTTP, and another worker with bare 503s.
(name "hang")
(seconds 9)
(gateways 2)
(clients 16)
(settings
  (class "quote" (effect safe) (aim-ms 400) (deadline-ms 1500) (worth 2) (late-worth 0.2))
  (class "booking" (effect keyed (group cell) (window-ms 3000)) (aim-ms 750) (deadline-ms 1500) (worth 3) (late-worth 0.2))
  (class "charge" (effect unsafe) (aim-ms 600) (deadline-ms 1500) (worth 3) (late-worth 0.2))
  
  (loading (orders yes) (keep-ms 8000) (order-timeout-ms 3000))
  (rules (drain-grace-ms 250) (start-capacity 0.2) (warm-within-ms 3000) (fall-multiple 3)))
(load (per-second 200) (functions 6) (work-ms 8) (mix (quote 47) (booking 38) (charge 15)))
(fleet (workers 8) (cells 4) (zones 2) (lanes 2) (queue 48) (copies 20) (load-ms 120) (warm-ms 3000) (start-capacity 0.2))
(fault (at-s 2) (for-s 3) (workers 1 4) (hang))
(fault (at-s 5) (for-s 1) (worker 4) (garbage))
(fault (at-s 5) (for-s 1) (worker 2) (bare-503))
