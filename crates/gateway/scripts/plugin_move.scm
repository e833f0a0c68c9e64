; All plug-ins move to their second version at once, in steps and with copies loaded in advance; one
; worker has corrupt copies.
(name "plugin_move")
(seconds 16)
(gateways 2)
(clients 32)
(settings
  (class "quote" (effect safe) (aim-ms 400) (deadline-ms 1500) (worth 2) (late-worth 0.2))
  (class "booking" (effect keyed (group cell) (window-ms 3000)) (aim-ms 750) (deadline-ms 1500) (worth 3) (late-worth 0.2))
  (class "charge" (effect unsafe) (aim-ms 600) (deadline-ms 1500) (worth 3) (late-worth 0.2))
  (loading (orders yes) (keep-ms 8000) (order-timeout-ms 3000))
  (rules (drain-grace-ms 250) (start-capacity 0.2) (warm-within-ms 3000) (fall-multiple 3)))
(load (per-second 500) (functions 6) (work-ms 8) (mix (quote 47) (booking 38) (charge 15)))
(fleet (workers 12) (cells 4) (zones 2) (lanes 2) (queue 64) (copies 40) (load-ms 300) (warm-ms 3000) (start-capacity 0.2))
(plugins)
(window (from-s 4) (to-s 14))
(event (at-s 5) (move-aliases))
(fault (at-s 7) (for-s 3) (worker 2) (corrupt-copies))
