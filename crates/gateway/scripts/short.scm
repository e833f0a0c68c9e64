; A short run for CI: a crash, a slow worker, lost answers, a drain and dropped connections. Slack and grace are large so
; that delays of a busy machine are not reported as violations.
(name "short")
(seconds 4)
(gateways 1)
(clients 16)
(settings
  (class "quote" (effect safe) (aim-ms 400) (deadline-ms 1500) (worth 2) (late-worth 0.2))
  (class "booking" (effect keyed (group cell) (window-ms 3000)) (aim-ms 750) (deadline-ms 1500) (worth 3) (late-worth 0.2))
  (class "charge" (effect unsafe) (aim-ms 600) (deadline-ms 1500) (worth 3) (late-worth 0.2))
  
  (loading (orders yes) (keep-ms 8000) (order-timeout-ms 3000))
  (rules (answer-slack-ms 250) (drain-grace-ms 1000) (start-capacity 0.2) (warm-within-ms 3000) (fall-multiple 3)))
(load (per-second 200) (functions 6) (work-ms 8) (mix (quote 47) (booking 38) (charge 15)))
(fleet (workers 8) (cells 4) (zones 2) (lanes 2) (queue 48) (copies 20) (load-ms 120) (warm-ms 3000) (start-capacity 0.2))
(event (at-s 1) (crash (worker 0) (down-ms 400) (told-ms 200)))
(fault (at-s 1) (for-s 2) (worker 2) (slow 5))
(fault (at-s 1.5) (for-s 1) (worker 4) (lose-answers 0.5))
(event (at-s 2) (drain 5))
(event (at-s 2.5) (drop-connections 3))
