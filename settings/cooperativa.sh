# Current deployment of Cooperativa, for the scripts.
ENGINES=20
ENGINE_SLOTS=8
SERVICES=3
SERVICE_SLOTS=64
ZONES="cerro-alegre almendral playa-ancha"
ACCOUNTS=10
ROUTERS=3
MODEL=inscription-large
MODEL_POOL=assistant
SERVICE_POOL=orders
AFFINITY=prefix
BOOKING_PATH=/orders/bookings
ARCHIVES=120
PROMPT_BYTES=6000
