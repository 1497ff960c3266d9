"""The types of the decision module, by noun; ``brackenloft.interface`` offers all of them in one place."""
