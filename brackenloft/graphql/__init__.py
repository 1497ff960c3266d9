"""GraphQL with a declared cost for each query, charged as every call is; extra [graphql]."""
