#!/usr/bin/env bash
# Runs two daemons, two engines, a plain service and the platform's stand-ins as separate processes on loopback,
# configures them, sends a request and stops. With "stay" as an argument it stays up until it is interrupted.
set -euo pipefail
cd "$(dirname "$0")"
program=$PWD/../../bin/gooseberryway
make -s -C ../.. build
logs=$(mktemp -d)
started=()
stop() {
  for pid in "${started[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait
}
trap stop EXIT
start() { "$program" "${@:2}" >"$logs/$1.out" 2>"$logs/$1.err" & started+=($!); }

start log standin log --settings log.json
start vms standin vms --settings vms.json
start weights standin weights --settings weights.json
start engine-1 standin engine --settings engine-1.json
start engine-2 standin engine --settings engine-2.json
start bookings standin plain --settings bookings.json
start daemon-1 serve --settings daemon-1.json
start daemon-2 serve --settings daemon-2.json
for port in 7212 7222; do
  for _ in $(seq 100); do curl -sf "http://127.0.0.1:$port/readyz" >/dev/null && break || sleep 0.1; done
done

export GOOSEBERRYWAY_SERVER=127.0.0.1:7212 GOOSEBERRYWAY_KEY=example-operator-key
"$program" version set girth-1 model=girth weights=girth-1
"$program" model set girth currentVersion=girth-1 blockTokens=1000
for i in 1 2; do
  "$program" upstream set "engine-$i" kind=engine "baseUrl=http://127.0.0.1:711$i" "failureDomain=riga-$i" model=girth
done
"$program" upstream set bookings kind=plain baseUrl=http://127.0.0.1:7120 failureDomain=riga-1
"$program" org set survey team=alder rateTokensPerSecond=200000 burstTokens=800000
"$program" route set girth team=alder kind=model model=girth onKeyWithdrawal=finish
"$program" route set visits team=alder kind=plain pathPrefix=/visits 'upstreams=["bookings"]' 'idempotentMethods=["GET"]' onKeyWithdrawal=finish --wait
key=$("$program" key create survey --json --wait | sed -n 's/.*"secret": "\(.*\)".*/\1/p')
sleep 2 # the shares of a new organisation start empty

echo "a request to each daemon:"
for port in 7210 7220; do
  curl -sfN "http://127.0.0.1:$port/v1/chat/completions" -H "Authorization: Bearer $key" \
    -d '{"model":"girth","max_tokens":12,"messages":[{"role":"user","content":"is a girth of 140 cm plausible?"}]}'
done
curl -sf "http://127.0.0.1:7210/visits/today" -H "Authorization: Bearer $key" -H "Idempotency-Key: visit-1" -d 'mirror at noon'
echo
"$program" status
if [ "${1:-}" = stay ]; then
  echo "callers: http://127.0.0.1:7210, key $key; page for phones: http://127.0.0.1:7212, operator key $GOOSEBERRYWAY_KEY"
  wait
fi
