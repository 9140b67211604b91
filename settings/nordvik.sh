# Current deployment of Nordvik, for the scripts.
ENGINES=10
ENGINE_SLOTS=8
SERVICES=3
SERVICE_SLOTS=64
ZONES="valley-a ridge-b depot-c"
ACCOUNTS=10
ROUTERS=3
MODEL=route-planner
MODEL_POOL=planner
SERVICE_POOL=field
AFFINITY=chat
BOOKING_PATH=/field/poles
ARCHIVES=60
PROMPT_BYTES=2000
