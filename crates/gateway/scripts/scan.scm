; A tenth of the calls are for functions that are never called again, and memory is scarce.
(name "scan")
(seconds 9)
(gateways 2)
(clients 16)
(settings
  (class "quote" (effect safe) (aim-ms 400) (deadline-ms 1500) (worth 2) (late-worth 0.2))
  (class "booking" (effect keyed (group cell) (window-ms 3000)) (aim-ms 750) (deadline-ms 1500) (worth 3) (late-worth 0.2))
  (class "charge" (effect unsafe) (aim-ms 600) (deadline-ms 1500) (worth 3) (late-worth 0.2))
  
  (loading (orders yes) (keep-ms 8000) (order-timeout-ms 3000))
  (rules (drain-grace-ms 250) (start-capacity 0.2) (warm-within-ms 3000) (fall-multiple 3)))
(load (per-second 200) (functions 6) (work-ms 8) (mix (quote 47) (booking 38) (charge 15))
  (scan 0.1))
(fleet (workers 8) (cells 4) (zones 2) (lanes 2) (queue 48) (copies 9) (load-ms 120) (warm-ms 3000) (start-capacity 0.2))

