"""Configuration of all gateways: a versioned document, how it is published, followed and put in force."""
